"""Tests of a store that goes back to an older copy of itself, over sockets."""

from __future__ import annotations

import asyncio
import json

from fleet_fixture import KEY, run_fleet, wait_until

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 60


def run(scenario, gateways=1, **settings):
    """Run a scenario against a fleet."""

    async def main():
        async with asyncio.timeout(TEST_S), run_fleet(gateways, **settings) as fleet:
            return await scenario(fleet)

    return run_virtual(main())


def count_known_instances(fleet):
    """Return how many instances each gateway considers alive."""
    views = [gateway.host._peers.view() for gateway in fleet.gateways]
    return [len(view.alive) if view is not None else 0 for view in views]


def test_key_revoked_by_a_lost_version_stays_refused():
    """Guards against a revoked key that is accepted again.

    The operator revokes a key, then the store goes back to a copy with the previous
    version.  The older copy does not replace the version in force.
    """

    async def scenario(fleet):
        await asyncio.sleep(2)
        fleet.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(2):
            await fleet.call_until_status(401, gateway=number)
        fleet.store.go_back(1.0)
        responses = []
        for _ in range(40):
            responses += [await fleet.call(gateway=number) for number in range(2)]
            await asyncio.sleep(0.05)
        fleet.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(2):
            await fleet.call_until_status(200, gateway=number, key='new')
        return {each.status for each in responses}

    assert 200 not in run(scenario, gateways=2)


def test_version_at_a_reused_offset_is_applied():
    """Guards against a version that no instance applies.

    Six versions are lost; the next one gets an offset that all have already read.
    """

    async def scenario(fleet):
        await asyncio.sleep(2)
        for version in range(2, 8):
            fleet.write_configuration(version)
        await asyncio.sleep(2)
        fleet.store.go_back(3.0)
        fleet.write_configuration(9, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(3):
            await fleet.call_until_status(200, gateway=number, key='new')

    run(scenario, gateways=3)


def test_left_endpoint_in_an_older_copy_receives_no_requests():
    """Guards against requests to an address that another service may now use."""

    async def scenario(fleet):
        await asyncio.sleep(2)
        fleet.write_entry('d1', state='draining', sequence=2)
        await asyncio.sleep(1)
        fleet.store.put('keyed.servers', 'd1', None)
        await asyncio.sleep(1)
        fleet.store.go_back(3.0)
        await asyncio.sleep(3)
        received = len(fleet.endpoints['d1'].received)
        responses = [await fleet.call('/a/1', gateway=number) for number in range(2)]
        return len(fleet.endpoints['d1'].received) - received, responses

    received, responses = run(
        scenario, gateways=2, spare=False, revoke_notice_ms=20_000
    )

    assert received == 0
    assert {each.status for each in responses} == {503}


def test_endpoint_missing_from_an_older_copy_stays_in_use():
    async def scenario(fleet):
        fleet.store.put('keyed.servers', 'd1', None)
        await fleet.call_until_status(503)
        await asyncio.sleep(2)
        fleet.write_entry('d1', sequence=5)
        await fleet.call_until_status(200)
        fleet.store.go_back(1.0)
        responses = []
        for _ in range(15):
            responses.append(await fleet.call())
            await asyncio.sleep(0.1)
        fleet.write_entry('d1', sequence=7)
        await asyncio.sleep(4)
        responses.append(await fleet.call())
        return {each.status for each in responses}

    assert run(scenario, revoke_notice_ms=20_000) == {200}


def test_instances_find_each_other_after_a_copy_from_before_their_start():
    """Guards against instances that callers no longer discover.

    The copy has neither their entries nor the shared secret that authenticates their
    messages; an instance that starts then writes a secret of its own.
    """

    async def scenario(fleet):
        await wait_until(lambda: count_known_instances(fleet) == [3, 3, 3])
        fleet.store.topic('keyed.instances').go_back(-1)
        fleet.store.era += 1
        topic = fleet.store.topic('keyed.instances')
        await wait_until(lambda: len(topic.newest) == 4)
        await wait_until(lambda: count_known_instances(fleet) == [3, 3, 3])
        address = fleet.gateways[0].settings.discovery_address
        target = '/-/resolve?name=desk.example&region=kerala&zone=kochi'
        document = json.loads((await fleet.get(address, target)).body)
        return len(document['addresses']), (await fleet.call(key=KEY)).status

    assert run(scenario, gateways=3) == (3, 200)
