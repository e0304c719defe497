"""Tests of the invariant that an endpoint gets no more calls than its limit."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from permit_simulation import RUN, START_MS, PermitFleet, apply_step

INSTANCES = 8
NAMES = [f'k{number}' for number in range(INSTANCES)]
ADDED = 'k8'
STEADY_MS = 20_000
SETTLED_MS = 5_000

some_names = st.sets(st.sampled_from([*NAMES, ADDED]), min_size=1).map(sorted)
steps = st.one_of(
    st.tuples(st.just('wait'), st.integers(100, 4_000)),
    st.tuples(st.just('state_limit'), st.sampled_from([None, 0, 0.5, 1, 3, 10, 50])),
    st.tuples(st.just('set_request_rate'), st.sampled_from([1, 10, 100, 300])),
    st.tuples(st.sampled_from(['kill', 'start', 'freeze', 'wake']), some_names),
    st.tuples(st.sampled_from(['cut_off', 'join']), some_names),
)


def run_steps(fleet, steps):
    for step, value in steps:
        if step == 'wait':
            fleet.run(value)
        elif step in ('state_limit', 'set_request_rate'):
            getattr(fleet, step)(value)
        else:
            apply_step(fleet, step, value)
    fleet.run(SETTLED_MS)
    return fleet


@pytest.mark.parametrize('limit_per_s', [1, 10, 100])
@pytest.mark.parametrize('instances', [8, 65, 530])
def test_limit_is_respected_and_used_at_each_size(instances, limit_per_s):
    """Guards against shares of a limit that add up to more than it, or to nothing."""
    fleet = PermitFleet(instances, 2 * limit_per_s, limit_per_s)
    fleet.run(STEADY_MS)

    assert fleet.find_excess() <= 0
    assert fleet.use_share(START_MS + SETTLED_MS) > 0.5


@pytest.mark.parametrize('instances', [8, 65, 530])
def test_burst_after_light_load_stays_within_limit(instances):
    """Guards against calls that each instance accumulates under light load."""
    fleet = PermitFleet(instances, 2 * instances, 1)
    fleet.run(SETTLED_MS)
    fleet.set_request_rate(0.1)
    fleet.run(STEADY_MS)
    fleet.set_request_rate(2 * instances)
    fleet.run(SETTLED_MS)

    assert fleet.find_excess() <= 0


@settings(max_examples=150, deadline=None)
@given(
    steps=st.lists(steps, max_size=25),
    limit_per_s=st.sampled_from([0, 0.5, 1, 3, 10, 50]),
    loss_share=st.sampled_from([0.0, 0.1, 0.4]),
)
def test_endpoint_gets_no_more_calls_than_its_limit(steps, limit_per_s, loss_share):
    """Guards against calls beyond a limit while instances end, start or are cut off."""
    fleet = PermitFleet(INSTANCES, 40, limit_per_s, loss_share=loss_share)
    fleet.run(SETTLED_MS)

    assert run_steps(fleet, steps).find_excess() <= 0


@pytest.mark.parametrize(
    ('instances', 'notice_ms'), [(8, 3_000), (65, 4_000), (195, 5_000)]
)
def test_limit_is_soon_known_to_instances_without_calls(instances, notice_ms):
    """Guards against a first call of each instance to an overloaded endpoint."""
    fleet = PermitFleet(instances, 4, 1)
    fleet.run(notice_ms)

    assert all(each.handler.is_limited(RUN) for each in fleet.instances.values())


def test_end_of_a_limit_is_soon_known_to_all():
    """Guards against a limit that remains at instances not notified of its end."""
    fleet = PermitFleet(INSTANCES, 40, 1)
    fleet.run(STEADY_MS)
    fleet.state_limit(None)
    fleet.run(SETTLED_MS)

    assert not any(each.handler.is_limited(RUN) for each in fleet.instances.values())


def test_endpoint_with_limit_of_zero_is_called_after_its_end():
    """Guards against a limit of zero whose end no response could state."""
    fleet = PermitFleet(INSTANCES, 40, 0)
    fleet.run(STEADY_MS)
    fleet.state_limit(None)
    fleet.run(STEADY_MS)

    assert not any(each.handler.is_limited(RUN) for each in fleet.instances.values())


def test_limit_is_given_to_the_most_urgent_calls():
    """Guards against calls of a lower tier in place of more urgent ones."""
    fleet = PermitFleet(INSTANCES, 60, 10)
    fleet.run(STEADY_MS)

    first, second, last = fleet.served_shares()
    assert first > second > last
    assert first > 0.8
