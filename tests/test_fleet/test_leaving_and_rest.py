"""Tests of endpoints that leave or ask for rest, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from rig import run_rig

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 120
# From the answer that says so to the time from which on nothing new may come.
DRAIN_S = 2.0
REST_S = 3.0
# From the answer that asks for rest to the time from which on it counts.
TOLD_S = 0.5
LEAVES = (('server-leaving', '1'),)
RESTS = (('retry-after', str(REST_S)),)
SPACE_S = 0.1
LASTS_S = 8.0
STREAM = {'path': '/s/1', 'method': 'POST'}
LONG = (
    ('model', 'm'),
    ('token-count', '6000,20'),
    ('prefix-hash', '5c1e:5000,91bd:1000'),
)


async def call_for(rig, lasts_s, **call):
    """Send requests to an instance for some time; return the answers."""
    ends_s = rig.now_s() + lasts_s
    calls = []
    while rig.now_s() < ends_s:
        calls.append(asyncio.create_task(rig.call(**call)))
        await asyncio.sleep(SPACE_S)
    return await asyncio.gather(*calls)


def run_with_rig(play, gateways=2, desks=2):
    """Run a play against gateways that know of each other."""

    async def main():
        running = run_rig(gateways, desks=desks, revoke_notice_ms=60_000)
        async with asyncio.timeout(TEST_S), running as rig:
            await asyncio.sleep(5)
            return await play(rig)

    return run_virtual(main())


def count_after(endpoint, at_s):
    return sum(each > at_s for each in endpoint.times)


def test_endpoint_that_says_that_it_leaves_gets_nothing_new():
    """Guards against requests to an endpoint whose leaving the store does not tell."""

    async def play(rig):
        rig.store.mode = 'busy'
        endpoint = rig.endpoints['d1']
        endpoint.stated = LEAVES
        left_s = rig.now_s()
        answers = await call_for(rig, LASTS_S)
        return count_after(endpoint, left_s + DRAIN_S), answers

    late, answers = run_with_rig(play)

    assert late == 0
    assert {answer.status for answer in answers} == {200}


def test_entries_of_the_store_do_not_take_back_that_an_endpoint_leaves():
    """Guards against an endpoint that comes back into use with its next heartbeat."""

    async def play(rig):
        endpoint = rig.endpoints['d1']
        endpoint.stated = LEAVES
        left_s = rig.now_s()
        await call_for(rig, 1.0)
        for sequence in range(2, 8):
            rig.write_entry('d1', sequence=sequence)
            await call_for(rig, 1.0)
        return count_after(endpoint, left_s + DRAIN_S)

    assert run_with_rig(play) == 0


def test_instances_tell_each_other_that_an_endpoint_leaves():
    """Guards against a request of each instance to an endpoint that is leaving."""

    async def play(rig):
        rig.store.mode = 'busy'
        endpoint = rig.endpoints['d1']
        endpoint.stated = LEAVES
        await call_for(rig, 1.0, gateway=0)
        await asyncio.sleep(DRAIN_S)
        before = len(endpoint.times)
        await call_for(rig, 2.0, gateway=1)
        return len(endpoint.times) - before

    assert run_with_rig(play) == 0


def test_new_run_of_an_endpoint_that_left_gets_requests():
    """Guards against an endpoint that is left out for ever once it has said so."""

    async def play(rig):
        endpoint = rig.endpoints['d1']
        endpoint.stated = LEAVES
        await call_for(rig, 1.0)
        endpoint.stated = ()
        rig.write_entry('d1', sequence=1, born=1_700_000_000_000)
        await asyncio.sleep(1)
        before = len(endpoint.times)
        await call_for(rig, 2.0)
        return len(endpoint.times) - before

    assert run_with_rig(play) > 0


@pytest.mark.parametrize(
    ('name', 'call'), [('d1', {}), ('e1', {'extra': LONG, **STREAM})]
)
def test_endpoint_gets_the_rest_that_it_asks_an_instance_for(name, call):
    """Guards against requests to an endpoint that has just turned one away."""

    async def play(rig):
        endpoint = rig.endpoints[name]
        endpoint.sheds, endpoint.stated = True, RESTS
        asked_s = rig.now_s()
        await call_for(rig, REST_S - SPACE_S, **call)
        return [at_s - asked_s for at_s in endpoint.times if at_s >= asked_s]

    calls_s = run_with_rig(play, gateways=1, desks=1)
    first_s = min(calls_s)

    assert sum(first_s + TOLD_S <= at_s < first_s + REST_S for at_s in calls_s) <= 2


def test_caller_is_refused_early_where_all_endpoints_rest():
    """Guards against a caller that waits, or comes back before an endpoint wants it."""

    async def play(rig):
        for name in ('d1', 'd2'):
            rig.endpoints[name].sheds = True
            rig.endpoints[name].stated = RESTS
        await rig.call()
        await rig.call()
        began_s = rig.now_s()
        answer = await rig.call()
        return answer, rig.now_s() - began_s

    answer, waited_s = run_with_rig(play, gateways=1)

    assert answer.status == 503
    assert waited_s < SPACE_S
    assert REST_S - SPACE_S < float(answer.headers['retry-after']) <= REST_S + 0.5
