"""Tests of ejection."""

from __future__ import annotations

import pytest

from savorychute.inputs import LoadReported
from savorychute.recovery import EndpointHealth


@pytest.fixture
def make_report():
    def make(state, age_ms):
        return LoadReported(
            'e0', age_ms, 0, 0, 1.0, 3.0, ('clauses',), state, 0, (), (), False
        )

    return make


def test_crash_ejects_and_the_return_is_slow(make_ejector):
    ejector = make_ejector(ejection_ms=1_000, ramp_ms=10_000)
    ejector.failed('e0', 0, crashed=True)
    assert not ejector.allowed('e0', 500)
    assert ejector.suspect('e0', 500)

    assert ejector.allowed('e0', 1_300)
    assert ejector.ramp('e0', 1_300) < 0.2
    assert ejector.ramp('e0', 6_300) == pytest.approx(0.5, abs=0.05)
    assert ejector.ramp('e0', 12_000) == 1.0


def test_failure_while_returning_ejects_for_longer(make_ejector):
    ejector = make_ejector(ejection_ms=1_000)
    ejector.failed('e0', 0, crashed=True)
    assert ejector.allowed('e0', 1_300)
    ejector.failed('e0', 1_300, crashed=False)
    assert not ejector.allowed('e0', 3_000)
    assert ejector.allowed('e0', 4_000)


def test_errors_in_a_row_eject_but_mixed_ones_do_not(make_ejector):
    ejector = make_ejector()
    for now_ms in range(40):
        ejector.failed('e0', now_ms, crashed=False)
        ejector.succeeded('e0', now_ms)
        ejector.succeeded('e0', now_ms)
    assert ejector.allowed('e0', 40)
    for now_ms in range(40, 45):
        ejector.failed('e0', now_ms, crashed=False)
    assert not ejector.allowed('e0', 45)


@pytest.mark.parametrize('crashed', [False, True])
@pytest.mark.parametrize('count', [1, 2, 3, 6, 9])
def test_never_all_of_a_pool_are_ejected(make_ejector, count, crashed):
    ejector = make_ejector(count)
    for now_ms in range(50):
        for number in range(count):
            ejector.failed(f'e{number}', now_ms, crashed=crashed)
    allowed = [n for n in range(count) if ejector.allowed(f'e{n}', 50)]
    assert len(allowed) >= 1
    if not crashed:
        assert len(allowed) >= count / 2


def test_leaving_endpoint_gets_nothing_until_it_is_back(make_ejector, make_report):
    """A leaving endpoint gets new work again because of an old report.

    It refuses at 1000 with 'leaving'; a report taken at 900 arrives at 1400
    and still calls it active.  It is replaced, and a report of 5000 says so.
    """
    ejector = make_ejector()
    ejector.leave('e0', 1_000)
    ejector.report(make_report('active', 500), 1_400)
    assert not ejector.allowed('e0', 1_400)

    ejector.report(make_report('active', 0), 5_000)
    assert ejector.health_of('e0', 5_000) is EndpointHealth.RAMPING


def test_changes_are_told_once_with_their_reason(make_ejector):
    ejector = make_ejector()
    ejector.failed('e0', 7, crashed=True)
    (change,) = ejector.take_changes()
    assert change.endpoint == 'e0'
    assert change.after is EndpointHealth.EJECTED
    assert change.reason == 'it crashed'
    assert ejector.take_changes() == []
