"""Tests of engines that say in a load report that they leave."""

from __future__ import annotations

import pytest
from gateway_fakes import IDLE, make_entry, make_gateway, make_prompt
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.membership.told_leaving import ToldLeaving

LEAVES = IDLE._replace(leaving=True)


@pytest.fixture
def scene():
    """One gateway with an engine that leaves and has said so, and another one."""
    scene = make_gateway(engines=2)
    scene.attempts.loads['e0'] = LEAVES
    scene.parts.loads.ask(scene.parts.roster.get('e0'), lambda lives: None)  # noqa: ARG005
    return scene


def usable(scene):
    return [each.entry.endpoint for each in scene.parts.roster.usable('pool')]


def test_engine_that_leaves_gets_nothing_new(scene):
    assert usable(scene) == ['e1']


@pytest.mark.parametrize('sequence', [1, 2])
def test_entry_does_not_take_back_that_an_engine_leaves(scene, sequence):
    """Guards against an engine that a listing or its next heartbeat brings back."""
    scene.parts.roster.apply(make_entry('e0', 'pool', slots=64, sequence=sequence))

    assert usable(scene) == ['e1']


def test_engine_that_leaves_stays_out_when_its_entry_was_gone_for_a_while(scene):
    """Guards against an engine that an older copy of the store brings back."""
    scene.parts.roster.store_failed(scene.clock.now_ms())
    scene.parts.roster.withhold('e0')
    scene.parts.roster.apply(make_entry('e0', 'pool', slots=64, sequence=2))

    assert usable(scene) == ['e1']


def test_new_run_of_an_engine_that_left_is_used(scene):
    entry = make_entry('e0', 'pool', slots=64, sequence=1, born_ms=5)
    scene.parts.roster.apply(entry)

    assert sorted(usable(scene)) == ['e0', 'e1']


def test_request_that_was_about_to_leave_goes_to_another_engine(scene):
    """Guards against a request that was chosen before its engine said that it leaves."""
    scene.start('/diagnosis/1', prompt=make_prompt())

    assert scene.last_attempt.endpoint == 'e1'


NAMES = ['e0', 'e1', 'e2']
names = st.sampled_from(NAMES)
births = st.integers(0, 2)
steps = st.one_of(
    st.tuples(st.just('entry'), names, births, st.integers(1, 9)),
    st.tuples(st.just('listing'), st.sets(names), births, st.integers(1, 9)),
    st.tuples(st.sampled_from(['remove', 'withhold']), names),
    st.tuples(st.sampled_from(['answer', 'news']), names, births),
    st.tuples(st.sampled_from(['store fails', 'time passes'])),
)


def apply_step(scene, step, *values):
    """Do something to the roster; return the run that leaves, if one says so."""
    roster, now_ms = scene.parts.roster, scene.clock.now_ms()
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
            roster.withhold(values[0])
        case 'store fails':
            roster.store_failed(now_ms)
        case 'time passes':
            scene.advance(3_000)
            roster.expire(scene.clock.now_ms())
        case 'answer':
            scene.parts.statements.leaving.state(EndpointRun(*values), now_ms)
            return EndpointRun(*values)
        case 'news':
            scene.parts.statements.leaving.hear([ToldLeaving(*values)], now_ms)
            return EndpointRun(*values)
    return None


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(steps, max_size=30))
def test_run_that_said_that_it_leaves_is_never_used_again(steps):
    """Guards against a leaving endpoint that any later word brings back."""
    scene = make_gateway(engines=3)
    gone = set()
    for step in steps:
        gone.add(apply_step(scene, *step))
        used = {record.entry.run for record in scene.parts.roster.usable('pool')}
        assert not used & gone


def test_leaving_engine_is_told_to_others_for_a_while(scene):
    leaving, now_ms = scene.parts.statements.leaving, scene.clock.now_ms()

    assert leaving.told(now_ms) == (ToldLeaving('e0', 0),)
    assert leaving.told(now_ms + 60_000) == ()
