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


def test_crash_ejects_and_readmission_is_gradual(make_ejector):
    ejector = make_ejector(ejection_ms=1_000, ramp_ms=10_000)
    ejector.record_failure('e0', 0, crashed=True)
    assert not ejector.is_allowed('e0', 500)
    assert ejector.has_crashed_recently('e0', 500)

    assert ejector.is_allowed('e0', 1_300)
    assert ejector.ramp_share('e0', 1_300) < 0.2
    assert ejector.ramp_share('e0', 6_300) == pytest.approx(0.5, abs=0.05)
    assert ejector.ramp_share('e0', 12_000) == 1.0


def test_failure_while_ramping_ejects_for_longer(make_ejector):
    ejector = make_ejector(ejection_ms=1_000)
    ejector.record_failure('e0', 0, crashed=True)
    assert ejector.is_allowed('e0', 1_300)
    ejector.record_failure('e0', 1_300, crashed=False)
    assert not ejector.is_allowed('e0', 3_000)
    assert ejector.is_allowed('e0', 4_000)


def test_consecutive_errors_eject_but_mixed_ones_do_not(make_ejector):
    ejector = make_ejector()
    for now_ms in range(40):
        ejector.record_failure('e0', now_ms, crashed=False)
        ejector.record_success('e0', now_ms)
        ejector.record_success('e0', now_ms)
    assert ejector.is_allowed('e0', 40)
    for now_ms in range(40, 45):
        ejector.record_failure('e0', now_ms, crashed=False)
    assert not ejector.is_allowed('e0', 45)


@pytest.mark.parametrize('crashed', [False, True])
@pytest.mark.parametrize('count', [1, 2, 3, 6, 9])
def test_pool_is_never_ejected_completely(make_ejector, count, crashed):
    ejector = make_ejector(count)
    for now_ms in range(50):
        for number in range(count):
            ejector.record_failure(f'e{number}', now_ms, crashed=crashed)
    allowed = [n for n in range(count) if ejector.is_allowed(f'e{n}', 50)]
    assert len(allowed) >= 1
    if not crashed:
        assert len(allowed) >= count / 2


def test_leaving_endpoint_gets_no_requests_until_it_returns(make_ejector, make_report):
    """Guards against new requests to a leaving endpoint because of a stale report.

    It refuses at 1000 with 'leaving'; a report made at 900 arrives at 1400 and
    still shows it as active.  It is replaced, and a report of 5000 shows that.
    """
    ejector = make_ejector()
    ejector.mark_leaving('e0', 1_000)
    ejector.apply_report(make_report('active', 500), 1_400)
    assert not ejector.is_allowed('e0', 1_400)

    ejector.apply_report(make_report('active', 0), 5_000)
    assert ejector.health_of('e0', 5_000) is EndpointHealth.RAMPING


def test_changes_are_returned_once_with_their_reason(make_ejector):
    ejector = make_ejector()
    ejector.record_failure('e0', 7, crashed=True)
    (change,) = ejector.take_changes()
    assert change.endpoint == 'e0'
    assert change.after is EndpointHealth.EJECTED
    assert change.reason == 'it crashed'
    assert ejector.take_changes() == []
