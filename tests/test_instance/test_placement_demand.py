"""Tests of the estimated demand for models."""

from __future__ import annotations

import pytest

from savorychute.inputs import LoadReported
from savorychute.instance.placement_demand import DemandEstimator, divide_load
from savorychute.placement import ModelDemand
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request

SETTLED_MS = 5_000


@pytest.fixture
def solo():
    host = Solo(contracts=[make_contract()], endpoints=[make_engine('engine-1')])
    host.run_for(SETTLED_MS)
    return host


def make_report(running, waiting, models):
    return LoadReported(
        'engine-1', 0, running, waiting, 1.0, 5.0, models, 'active', 0, (), (), False
    )


def test_single_model_gets_the_whole_load():
    assert divide_load(['small'], {}) == {'small': 1.0}


def test_load_is_divided_in_proportion_to_own_requests():
    assert divide_load(['small', 'large'], {'small': 3, 'large': 1}) == {
        'small': 0.75,
        'large': 0.25,
    }


def test_load_is_divided_equally_without_own_requests():
    assert divide_load(['small', 'large'], {'other': 3}) == {'small': 0.5, 'large': 0.5}


def test_model_in_a_contract_is_listed_without_demand(solo):
    estimated = DemandEstimator(solo.instance._parts).estimate([])
    assert estimated == [ModelDemand('small', 0, is_named=True)]


def test_running_and_waiting_requests_are_added(solo):
    """Six requests compete for four slots: two are queued here, four run."""
    for number in range(6):
        solo.deliver(make_request(f'r{number}'))
    solo.run_for(100)

    report = make_report(4, 1, ('small',))
    (demand,) = DemandEstimator(solo.instance._parts).estimate([report])
    waiting = sum(solo.instance._parts.admission.waiting('small').values())
    assert waiting > 0
    assert demand == ModelDemand('small', 5 + waiting, is_named=True)
