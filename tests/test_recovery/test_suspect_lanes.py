"""Tests of the assignment of endpoints for suspects to instances."""

from __future__ import annotations

import pytest

from savorychute.recovery.suspect_lanes import SuspectLanes

TURN_MS = 1_500


@pytest.fixture
def make_lanes(make_documents, make_view):
    def make(instances, endpoints):
        names = [f'i{number}' for number in range(instances)]
        lanes = [SuspectLanes(name, TURN_MS) for name in names]
        for name, own_lanes in zip(names, lanes, strict=True):
            own_lanes.set_endpoints(make_documents(endpoints))
            own_lanes.set_view(make_view(name, names))
        return lanes

    return make


@pytest.mark.parametrize('instances, endpoints', [(8, 9), (7, 6), (3, 3), (9, 2)])
def test_no_two_instances_use_an_endpoint_at_once(make_lanes, instances, endpoints):
    """Guards against suspects of two instances on one endpoint that crashes.

    Both would then have the same two crashes, although one of the suspects caused none.
    """
    lanes = make_lanes(instances, endpoints)
    for age_ms in range(0, 10_000, 500):
        for number in range(endpoints):
            owners = [
                own_lanes
                for own_lanes in lanes
                if own_lanes.is_assigned(f'e{number}', age_ms)
            ]
            assert len(owners) == 1


@pytest.mark.parametrize('instances, endpoints', [(8, 9), (7, 6), (9, 2)])
def test_every_instance_has_its_turn(make_lanes, instances, endpoints):
    last_ms = TURN_MS * -(-instances // endpoints)
    for lanes in make_lanes(instances, endpoints):
        assert any(
            lanes.is_assigned(f'e{number}', age_ms)
            for number in range(endpoints)
            for age_ms in range(0, last_ms, TURN_MS)
        )
