"""Tests of instances that cannot reach the endpoints, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from endpoint_cut import CutKind
from fleet_fixture import run_fleet

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 120
# The caller of an instance without a path may be refused for this long.
NOTICE_S = 3.0
CALL_INTERVAL_S = 0.2
DURATION_S = 6.0
CALLS = (
    {'path': '/a/1'},
    {'path': '/p/1', 'method': 'POST', 'body': b'x'},
    {'path': '/s/1', 'method': 'POST'},
)


def run_with_fleet(scenario, gateways=3):
    """Run a scenario against gateways that know each other and all endpoints."""

    async def main():
        running = run_fleet(gateways, plain_endpoints=3)
        async with asyncio.timeout(TEST_S), running as fleet:
            await asyncio.sleep(5)
            return await scenario(fleet)

    return run_virtual(main())


async def call_in_turn(fleet, gateway, duration_s):
    """Send requests of all kinds to an instance; return their statuses."""
    ends_s = fleet.now_s() + duration_s
    calls = []
    while fleet.now_s() < ends_s:
        for call in CALLS:
            task = asyncio.create_task(fleet.call(gateway=gateway, **call))
            calls.append(task)
        await asyncio.sleep(CALL_INTERVAL_S)
    responses = await asyncio.gather(*calls)
    return [getattr(response, 'status', 0) for response in responses]


@pytest.mark.parametrize('gateways', [{0}, {0, 1}], ids=['one', 'most'])
@pytest.mark.parametrize('kind', CutKind)
def test_callers_are_served_while_their_instance_reaches_no_endpoint(kind, gateways):
    """Guards against refusals by an instance that only has lost its own path."""

    async def scenario(fleet):
        await call_in_turn(fleet, 0, 1.0)
        fleet.cut.begin(gateways, kind)
        await call_in_turn(fleet, 0, NOTICE_S)
        return await call_in_turn(fleet, 0, DURATION_S)

    statuses = run_with_fleet(scenario)
    unserved = [status for status in statuses if status != 200]
    assert unserved == []
