"""Tests of engines that state in a load report that they are leaving."""

from __future__ import annotations

import pytest
from gateway_fakes import IDLE, make_entry, make_gateway, make_prompt
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.membership.told_leaving import ToldLeaving

LEAVING_LOAD = IDLE._replace(leaving=True)


@pytest.fixture
def gateway():
    """A gateway with an engine that stated that it is leaving, and another engine."""
    gateway = make_gateway(engines=2)
    gateway.attempts.loads['e0'] = LEAVING_LOAD
    gateway.parts.loads.query(gateway.parts.roster.get('e0'), lambda is_alive: None)  # noqa: ARG005
    return gateway


def usable(gateway):
    return [each.entry.endpoint for each in gateway.parts.roster.usable('pool')]


def test_leaving_engine_gets_no_new_requests(gateway):
    assert usable(gateway) == ['e1']


@pytest.mark.parametrize('sequence', [1, 2])
def test_entry_does_not_revoke_leaving(gateway, sequence):
    """Guards against a leaving engine that a listing or heartbeat restores."""
    gateway.parts.roster.apply(make_entry('e0', 'pool', slots=64, sequence=sequence))

    assert usable(gateway) == ['e1']


def test_leaving_engine_stays_excluded_after_its_entry_was_missing(gateway):
    """Guards against a leaving engine that an older copy of the store restores."""
    gateway.parts.roster.store_failed(gateway.clock.now_ms())
    gateway.parts.roster.exclude('e0')
    gateway.parts.roster.apply(make_entry('e0', 'pool', slots=64, sequence=2))

    assert usable(gateway) == ['e1']


def test_new_run_of_an_engine_that_left_is_used(gateway):
    entry = make_entry('e0', 'pool', slots=64, sequence=1, born_ms=5)
    gateway.parts.roster.apply(entry)

    assert sorted(usable(gateway)) == ['e0', 'e1']


def test_request_chosen_before_leaving_goes_to_another_engine(gateway):
    """Guards against a request to an engine chosen before it stated its leaving."""
    gateway.start('/diagnosis/1', prompt=make_prompt())

    assert gateway.last_attempt.endpoint == 'e1'


NAMES = ['e0', 'e1', 'e2']
names = st.sampled_from(NAMES)
start_times = st.integers(0, 2)
steps = st.one_of(
    st.tuples(st.just('entry'), names, start_times, st.integers(1, 9)),
    st.tuples(st.just('listing'), st.sets(names), start_times, st.integers(1, 9)),
    st.tuples(st.sampled_from(['remove', 'withhold']), names),
    st.tuples(st.sampled_from(['answer', 'news']), names, start_times),
    st.tuples(st.sampled_from(['store fails', 'time passes'])),
)


def apply_step(gateway, step, *values):
    """Apply a step to the roster; return the run that states that it leaves, if any."""
    roster, now_ms = gateway.parts.roster, gateway.clock.now_ms()
    match step:
        case 'entry':
            name, born_ms, sequence = values
            roster.apply(
                make_entry(name, 'pool', sequence=sequence, born_ms=born_ms),
                convinced=True,
            )
        case 'listing':
            listed, born_ms, sequence = values
            entries = [
                make_entry(each, 'pool', sequence=sequence, born_ms=born_ms)
                for each in listed
            ]
            roster.apply_all(entries, now_ms)
        case 'remove':
            roster.remove(values[0], now_ms)
        case 'withhold':
            roster.exclude(values[0])
        case 'store fails':
            roster.store_failed(now_ms)
        case 'time passes':
            gateway.advance(3_000)
            roster.expire(gateway.clock.now_ms())
        case 'answer':
            gateway.parts.statements.leaving.record_leaving(
                EndpointRun(*values), now_ms
            )
            return EndpointRun(*values)
        case 'news':
            gateway.parts.statements.leaving.record_reported(
                [ToldLeaving(*values)], now_ms
            )
            return EndpointRun(*values)
    return None


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(steps, max_size=30))
def test_leaving_run_is_never_used_again(steps):
    """Guards against a leaving endpoint that any later message restores."""
    gateway = make_gateway(engines=3)
    left_runs = set()
    for step in steps:
        left_runs.add(apply_step(gateway, *step))
        used = {record.entry.run for record in gateway.parts.roster.usable('pool')}
        assert not used & left_runs


def test_leaving_engine_is_announced_for_a_while(gateway):
    leaving, now_ms = gateway.parts.statements.leaving, gateway.clock.now_ms()

    assert leaving.announcements(now_ms) == (ToldLeaving('e0', 0),)
    assert leaving.announcements(now_ms + 60_000) == ()
