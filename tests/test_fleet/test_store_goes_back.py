"""Tests of a store that comes back from an older copy of itself, over sockets."""

from __future__ import annotations

import asyncio
import json

from rig import KEY, run_rig, until

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 60


def run(scenario, gateways=1, **settings):
    """Run a scenario against a rig."""

    async def main():
        async with asyncio.timeout(TEST_S), run_rig(gateways, **settings) as rig:
            return await scenario(rig)

    return run_virtual(main())


def count_instances(rig):
    """Return how many others each gateway knows."""
    views = [each.host._peers.view() for each in rig.gateways]
    return [len(view.alive) if view is not None else 0 for view in views]


def test_key_that_a_lost_version_took_back_stays_refused():
    """A key that worked again.

    The operator takes a key back, and the store comes back from a copy with the version
    before.  Nothing of the older copy wins over what is in force.
    """

    async def scenario(rig):
        await asyncio.sleep(2)
        rig.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(2):
            await rig.until_status(401, gateway=number)
        rig.store.go_back(1.0)
        answers = []
        for _ in range(40):
            answers += [await rig.call(gateway=number) for number in range(2)]
            await asyncio.sleep(0.05)
        rig.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(2):
            await rig.until_status(200, gateway=number, key='new')
        return {each.status for each in answers}

    assert 200 not in run(scenario, gateways=2)


def test_version_at_an_offset_that_was_given_out_again():
    """A version that no instance put in force.

    Six versions are lost; the next one gets an offset that all have read already.
    """

    async def scenario(rig):
        await asyncio.sleep(2)
        for version in range(2, 8):
            rig.write_configuration(version)
        await asyncio.sleep(2)
        rig.store.go_back(3.0)
        rig.write_configuration(9, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(3):
            await rig.until_status(200, gateway=number, key='new')

    run(scenario, gateways=3)


def test_endpoint_that_has_left_gets_nothing_when_a_copy_shows_it():
    """Requests to an address that another service may have by now."""

    async def scenario(rig):
        await asyncio.sleep(2)
        rig.write_entry('d1', state='draining', sequence=2)
        await asyncio.sleep(1)
        rig.store.put('keyed.servers', 'd1', None)
        await asyncio.sleep(1)
        rig.store.go_back(3.0)
        await asyncio.sleep(3)
        got = len(rig.endpoints['d1'].got)
        answers = [await rig.call('/a/1', gateway=number) for number in range(2)]
        return len(rig.endpoints['d1'].got) - got, answers

    got, answers = run(scenario, gateways=2, spare=False, revoke_notice_ms=20_000)

    assert got == 0
    assert {each.status for each in answers} == {503}


def test_endpoint_that_a_copy_lacks_stays_in_use_until_it_writes_again():
    async def scenario(rig):
        rig.store.put('keyed.servers', 'd1', None)
        await rig.until_status(503)
        await asyncio.sleep(2)
        rig.write_entry('d1', sequence=5)
        await rig.until_status(200)
        rig.store.go_back(1.0)
        answers = []
        for _ in range(15):
            answers.append(await rig.call())
            await asyncio.sleep(0.1)
        rig.write_entry('d1', sequence=7)
        await asyncio.sleep(4)
        answers.append(await rig.call())
        return {each.status for each in answers}

    assert run(scenario, revoke_notice_ms=20_000) == {200}


def test_instances_find_each_other_after_a_copy_from_before_their_start():
    """Instances that were no longer told to callers.

    The copy holds neither their entries nor the secret by which they know each other; an
    instance that starts then writes a secret of its own.
    """

    async def scenario(rig):
        await until(lambda: count_instances(rig) == [3, 3, 3])
        rig.store.topic('keyed.instances').go_back(-1)
        rig.store.era += 1
        topic = rig.store.topic('keyed.instances')
        await until(lambda: len(topic.newest) == 4)
        await until(lambda: count_instances(rig) == [3, 3, 3])
        address = rig.gateways[0].settings.discovery_address
        target = '/-/resolve?name=desk.example&region=kerala&zone=kochi'
        document = json.loads((await rig.get(address, target)).body)
        return len(document['addresses']), (await rig.call(key=KEY)).status

    assert run(scenario, gateways=3) == (3, 200)
