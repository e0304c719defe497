"""A law: no window gets more repeats than all instances together may send."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from repeat_rig import TICK_MS, RepeatFleet

INSTANCES = 8
# As many may be added at once as the part of the slack that is left unused allows.
ADDED = 1
NAMES = [f'k{number}' for number in range(INSTANCES + ADDED)]
CALM_MS = 15_000
STORM_END_MS = 25_000

some = st.sets(st.sampled_from(NAMES), min_size=1).map(sorted)
steps = st.one_of(
    st.tuples(st.just('wait'), st.integers(1, 24)),
    st.tuples(st.sampled_from(['kill', 'leave', 'restart', 'leave and start']), some),
    st.tuples(st.sampled_from(['freeze', 'wake', 'cut', 'join']), some),
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
            fleet.topic.down = fleet.topic.loses_answers = False
        case 'answers lost':
            fleet.topic.loses_answers = True
        case 'late writes':
            fleet.topic.deliver_late()
        case 'storm' | 'calm':
            fleet.storm = step == 'storm'
        case 'store back':
            fleet.topic.go_back(value)
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
        fleet.cut.add(name)
    if step == 'join':
        fleet.cut.discard(name)


def play(steps, requests):
    """Play the steps in a storm that follows a calm; return the fleet."""
    fleet = RepeatFleet(INSTANCES, requests)
    while fleet.now_ms < CALM_MS:
        fleet.tick()
    fleet.storm = True
    for step, value in steps:
        apply_step(fleet, step, value)
    ends_ms = max(fleet.now_ms, STORM_END_MS)
    while fleet.now_ms < ends_ms:
        fleet.tick()
    return fleet


CALM, STORM = ('calm', None), ('storm', None)
PASSES = ('wait', 24)
SEQUENCES = {
    'killed': [('wait', 2), ('restart', NAMES), PASSES],
    'left': [('wait', 2), ('leave and start', NAMES), PASSES],
    'spends while it leaves': [
        *(CALM, ('leave', NAMES), STORM),
        *(('wait', 2), ('restart', NAMES), PASSES),
    ],
    'leaves twice': [
        *(('wait', 2), ('leave and start', NAMES)),
        *(('wait', 2), ('leave and start', NAMES), PASSES),
    ],
    'started while others were away': [
        *(CALM, ('leave', NAMES[:6]), ('kill', NAMES[:6])),
        *(('leave and start', NAMES[6:8]), STORM, ('wait', 2)),
        *(('restart', NAMES[:6]), PASSES),
    ],
    'word of a run before the last': [
        *(CALM, ('leave', NAMES), ('wait', 6), ('restart', NAMES), STORM),
        *(('wait', 2), ('store back', 1), ('restart', NAMES)),
        *(('wait', 2), ('store back', 1), ('restart', NAMES), PASSES),
    ],
    'word that comes late': [
        *(CALM, ('answers lost', None), ('leave', NAMES), ('store up', None)),
        *(('restart', NAMES), ('wait', 44), STORM, ('wait', 2)),
        *(('late writes', None), ('restart', NAMES), PASSES),
    ],
}


@pytest.mark.parametrize('sequence', SEQUENCES.values(), ids=SEQUENCES)
def test_sequence_gets_no_more_repeats_than_the_bound(sequence):
    """Guards against repeats beyond the bound in sequences that once passed it."""
    assert play(sequence, requests=0).find_excess()[0] <= 0


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(steps, max_size=20), requests=st.integers(0, 2))
def test_endpoints_get_no_more_repeats_than_the_bound(steps, requests):
    """Guards against repeats beyond the bound, whatever ends, starts or is cut off."""
    fleet = play(steps, requests)

    assert not fleet.repeats_ms or fleet.find_excess()[0] <= 0


@pytest.mark.parametrize('step', ['restart', 'leave and start'])
def test_instances_that_start_again_use_what_is_left(step):
    """Guards against a bound that is kept by not repeating at all after a start."""
    fleet = play([('wait', 2), (step, NAMES), ('wait', 60)], requests=1)
    late = [at_ms for at_ms in fleet.repeats_ms if at_ms > CALM_MS + 40 * TICK_MS]

    assert late
