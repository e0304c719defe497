"""Tests of the estimate of the demand for models."""

from __future__ import annotations

import pytest

from savorychute.inputs import LoadReported
from savorychute.instance.placement_demand import DemandGatherer, divide
from savorychute.placement import ModelDemand
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request

SETTLED_MS = 5_000


@pytest.fixture
def solo():
    driven = Solo(contracts=[make_contract()], endpoints=[make_engine('engine-1')])
    driven.run_for(SETTLED_MS)
    return driven


def make_report(running, waiting, models):
    return LoadReported(
        'engine-1', 0, running, waiting, 1.0, 5.0, models, 'active', 0, (), (), False
    )


def test_engine_with_one_model_counts_wholly():
    assert divide(['small'], {}) == {'small': 1.0}


def test_load_is_divided_like_own_requests():
    assert divide(['small', 'large'], {'small': 3, 'large': 1}) == {
        'small': 0.75,
        'large': 0.25,
    }


def test_load_is_divided_equally_where_nothing_is_known():
    assert divide(['small', 'large'], {'other': 3}) == {'small': 0.5, 'large': 0.5}


def test_model_that_a_contract_names_is_there_without_demand(solo):
    gathered = DemandGatherer(solo.instance._parts).gather([])
    assert gathered == [ModelDemand('small', 0, is_named=True)]


def test_running_and_waiting_requests_are_added(solo):
    """Six requests want four places; two of them wait here, four run."""
    for number in range(6):
        solo.deliver(make_request(f'r{number}'))
    solo.run_for(100)

    report = make_report(4, 1, ('small',))
    (demand,) = DemandGatherer(solo.instance._parts).gather([report])
    waiting = sum(solo.instance._parts.admission.waiting('small').values())
    assert waiting > 0
    assert demand == ModelDemand('small', 5 + waiting, is_named=True)
