"""Tests that no window has more retries than all instances together may send."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from retry_fixture import TICK_MS, RetryFleet

INSTANCES = 8
# The unused share of the slack allows this many instances to be added at once.
ADDED = 1
NAMES = [f'k{number}' for number in range(INSTANCES + ADDED)]
CALM_MS = 15_000
STORM_END_MS = 25_000

some_names = st.sets(st.sampled_from(NAMES), min_size=1).map(sorted)
steps = st.one_of(
    st.tuples(st.just('wait'), st.integers(1, 24)),
    st.tuples(
        st.sampled_from(['kill', 'leave', 'restart', 'leave and start']), some_names
    ),
    st.tuples(st.sampled_from(['freeze', 'wake', 'cut', 'join']), some_names),
    st.tuples(st.sampled_from(['store down', 'store up', 'answers lost']), st.none()),
    st.tuples(st.sampled_from(['late writes', 'storm', 'calm']), st.none()),
    st.tuples(st.just('store back'), st.integers(1, 5)),
)


def apply_step(fleet, step, value):
    match step:
        case 'wait':
            for _ in range(value):
                fleet.gossip()
                fleet.tick()
        case 'store down':
            fleet.topic.down = True
        case 'store up':
            fleet.topic.down = fleet.topic.loses_responses = False
        case 'answers lost':
            fleet.topic.loses_responses = True
        case 'late writes':
            fleet.topic.apply_late_writes()
        case 'storm' | 'calm':
            fleet.storm = step == 'storm'
        case 'store back':
            fleet.topic.restore_backup(value)
        case _:
            for name in value:
                apply_to_instance(fleet, step, name)


def apply_to_instance(fleet, step, name):
    run = fleet.running(name)
    if step.startswith('leave') and run is not None and not run.frozen:
        run.leave()
    if step in ('kill', 'restart', 'leave and start'):
        fleet.kill(name)
    if step in ('restart', 'leave and start'):
        fleet.start(name)
    if step in ('freeze', 'wake') and run is not None:
        run.frozen = step == 'freeze'
    if step == 'cut':
        fleet.cut_off_names.add(name)
    if step == 'join':
        fleet.cut_off_names.discard(name)


def run_steps(steps, requests):
    """Run the steps in a retry storm that follows a calm phase; return the fleet."""
    fleet = RetryFleet(INSTANCES, requests)
    while fleet.now_ms < CALM_MS:
        fleet.tick()
    fleet.storm = True
    for step, value in steps:
        apply_step(fleet, step, value)
    end_ms = max(fleet.now_ms, STORM_END_MS)
    while fleet.now_ms < end_ms:
        fleet.tick()
    return fleet


CALM, STORM = ('calm', None), ('storm', None)
PASS_TIME = ('wait', 24)
SEQUENCES = {
    'killed': [('wait', 2), ('restart', NAMES), PASS_TIME],
    'left': [('wait', 2), ('leave and start', NAMES), PASS_TIME],
    'spends while it leaves': [
        *(CALM, ('leave', NAMES), STORM),
        *(('wait', 2), ('restart', NAMES), PASS_TIME),
    ],
    'leaves twice': [
        *(('wait', 2), ('leave and start', NAMES)),
        *(('wait', 2), ('leave and start', NAMES), PASS_TIME),
    ],
    'started while others were away': [
        *(CALM, ('leave', NAMES[:6]), ('kill', NAMES[:6])),
        *(('leave and start', NAMES[6:8]), STORM, ('wait', 2)),
        *(('restart', NAMES[:6]), PASS_TIME),
    ],
    'entry of a run before the last': [
        *(CALM, ('leave', NAMES), ('wait', 6), ('restart', NAMES), STORM),
        *(('wait', 2), ('store back', 1), ('restart', NAMES)),
        *(('wait', 2), ('store back', 1), ('restart', NAMES), PASS_TIME),
    ],
    'entry that is written late': [
        *(CALM, ('answers lost', None), ('leave', NAMES), ('store up', None)),
        *(('restart', NAMES), ('wait', 44), STORM, ('wait', 2)),
        *(('late writes', None), ('restart', NAMES), PASS_TIME),
    ],
}


@pytest.mark.parametrize('sequence', SEQUENCES.values(), ids=SEQUENCES)
def test_known_sequence_stays_within_the_retry_bound(sequence):
    """Guards against too many retries in sequences that once exceeded the bound."""
    assert run_steps(sequence, requests=0).find_excess()[0] <= 0


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(steps, max_size=20), requests=st.integers(0, 2))
def test_random_sequence_stays_within_the_retry_bound(steps, requests):
    """Guards against too many retries, whichever instances end, start or are cut off."""
    fleet = run_steps(steps, requests)

    assert not fleet.retries_ms or fleet.find_excess()[0] <= 0


@pytest.mark.parametrize('step', ['restart', 'leave and start'])
def test_restarted_instances_use_the_remaining_retries(step):
    """Guards against keeping to the bound by sending no retries after a start."""
    fleet = run_steps([('wait', 2), (step, NAMES), ('wait', 60)], requests=1)
    late = [at_ms for at_ms in fleet.retries_ms if at_ms > CALM_MS + 40 * TICK_MS]

    assert late
