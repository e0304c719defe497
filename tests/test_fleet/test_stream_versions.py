"""Tests that the events of a stream come from one software version, over sockets."""

from __future__ import annotations

import asyncio
import random

import pytest
from fleet_fixture import KEY, run_fleet
from resuming_caller import ResumingCaller
from versioned_engine import EVENTS, VersionedEngine

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 300
GATEWAYS = 6
CALLERS = 30
DURATION_S = 12.0
MAX_CALL_PAUSE_S = 0.3
MIN_RESUMPTIONS = 12
# Of the share of new streams that begin, the share of resumptions that must go on.
MIN_RELATIVE_SHARE = 0.5
DOWN_S = 0.2
RELEASE_INTERVAL_S = 2.0
# Keys are refused some seconds after the store has fallen silent.
KILL_WITHOUT_STORE_S = 1.5
# Streams that began by then were broken off before keys are refused.
LAST_BEGIN_S = 3 + 2 * KILL_WITHOUT_STORE_S + 0.1
HEADERS = (
    ('host', 'desk.example'),
    ('authorization', f'Bearer {KEY}'),
    ('model', 'm'),
    ('token-count', '400,80'),
)


async def run_caller(fleet, number, streams, ends_s):
    """Send requests for streams one after the other; add each received stream."""
    rng = random.Random(number)
    caller = ResumingCaller(rng, lambda: list_addresses(fleet), fleet.now_s)
    while fleet.now_s() < ends_s:
        name = f'c{number}-{fleet.now_s():.3f}'
        prompt = (('prefix-hash', f'{rng.getrandbits(32):x}:400'),)
        streams.append(await caller.call(name, HEADERS + prompt))
        await asyncio.sleep(rng.uniform(0, MAX_CALL_PAUSE_S))


def list_addresses(fleet):
    return [tuple(gateway.settings.caller_address) for gateway in fleet.gateways]


async def restart(gateway):
    await gateway.kill()
    await asyncio.sleep(DOWN_S)
    await gateway.start()


async def kill_in_turn(fleet):
    """Kill and restart one instance each second, for ever."""
    rng = random.Random(1)
    while True:
        await asyncio.sleep(1.0)
        await restart(rng.choice(fleet.gateways))


async def kill_all(fleet):
    """Kill and restart all instances at once, every 2.5 s, for ever."""
    while True:
        await asyncio.sleep(2.5)
        await asyncio.gather(*map(restart, fleet.gateways))


async def cut_streams(fleet):
    """Let the endpoints cut a third of their streams."""
    for endpoint in fleet.endpoints.values():
        endpoint.cut_share = 0.35


async def release_and_kill(fleet):
    """Replace engines by those of a third version while instances are killed."""
    for endpoint in fleet.endpoints.values():
        endpoint.cut_share = 0.2
    killing = asyncio.create_task(kill_in_turn(fleet))
    for old, new in (('e1', 'e7'), ('e2', 'e8'), ('e4', 'e9')):
        await asyncio.sleep(RELEASE_INTERVAL_S)
        fleet.write_entry(new)
        await asyncio.sleep(RELEASE_INTERVAL_S / 2)
        fleet.write_entry(old, state='draining')
    await killing


async def prepare_release(fleet):
    """Take the engines of the next version off the list."""
    for name in ('e7', 'e8', 'e9'):
        fleet.store.put('keyed.servers', name, None)


async def prepare_nothing(fleet):
    del fleet


async def lose_instances_without_store(fleet):
    """Kill two instances, one after the other, while the store is silent."""
    fleet.store.mode = 'silent'
    for gateway in fleet.gateways[:2]:
        await asyncio.sleep(KILL_WITHOUT_STORE_S)
        await gateway.kill()
        fleet.gateways.remove(gateway)


def play(disturb, versions, gateways=GATEWAYS, prepare=prepare_nothing):
    """Return the streams that callers receive while a disturbance goes on.

    :param disturb: the disturbance.
    :param versions: the software version of each engine.
    :param prepare: awaited before the instances have settled.
    """

    def make_engine(name):
        return VersionedEngine(name, versions[int(name[1:]) - 1])

    async def main():
        running = run_fleet(
            gateways,
            engines=len(versions),
            make_engine=make_engine,
            has_marks=False,
        )
        async with asyncio.timeout(TEST_S), running as fleet:
            await prepare(fleet)
            await asyncio.sleep(3)
            disturbing = asyncio.create_task(disturb(fleet))
            streams = []
            ends_s = fleet.now_s() + DURATION_S
            callers = (run_caller(fleet, n, streams, ends_s) for n in range(CALLERS))
            await asyncio.gather(*callers)
            disturbing.cancel()
            return streams

    return run_virtual(main())


def find_mixed(streams):
    """Return the streams that hold events of several software versions."""
    return [each for each in streams if len({event.data for event in each.events}) > 1]


def find_mixed_answers(streams):
    """Return the streams in which a single answer holds events of several versions."""
    return [
        stream
        for stream in find_mixed(streams)
        if len({(event.attempt, event.data) for event in stream.events})
        > len({event.attempt for event in stream.events})
    ]


def find_torn(streams):
    """Return the streams that lack an event, or hold one twice, or seem complete."""
    torn = []
    for stream in streams:
        numbers = [event.number for event in stream.events]
        is_contiguous = numbers == list(range(1, len(numbers) + 1))
        if not is_contiguous or (stream.whole and len(numbers) != EVENTS):
            torn.append(stream)
    return torn


def find_resumptions(streams):
    """Return the tries that took a stream up at an instance that responded."""
    return [each for stream in streams for each in stream.resumptions if each.status]


def share_begun(tries):
    """Return the share of the tries that brought an event, of those with a response."""
    responded = [each for each in tries if each.status]
    return sum(each.first_event for each in responded) / len(responded)


MIXED = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2']
SINGLE = ['v1'] * 6
DISTURBANCES = [cut_streams, kill_in_turn, kill_all]


@pytest.mark.parametrize('disturb', DISTURBANCES)
def test_events_of_a_stream_come_from_one_software_version(disturb):
    """Guards against streams that go on at another version than they began at."""
    streams = play(disturb, MIXED)
    assert len(find_resumptions(streams)) >= MIN_RESUMPTIONS
    assert find_torn(streams) == []
    assert len(find_mixed(streams)) == 0


@pytest.mark.parametrize('disturb', DISTURBANCES)
@pytest.mark.parametrize('versions', [MIXED, SINGLE], ids=['mixed', 'single'])
def test_streams_that_callers_take_up_again_go_on(disturb, versions):
    """Guards against refusals of streams whose software version is known."""
    streams = play(disturb, versions)
    resumptions = find_resumptions(streams)
    first_tries = [stream.tries[0] for stream in streams]
    assert len(resumptions) >= MIN_RESUMPTIONS
    assert share_begun(resumptions) >= MIN_RELATIVE_SHARE * share_begun(first_tries)


def test_events_come_from_one_of_three_versions_during_a_release():
    """Guards against a stream that follows a release to the next version."""
    versions = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2', 'v3', 'v3', 'v3']
    streams = play(release_and_kill, versions, prepare=prepare_release)
    resumptions = find_resumptions(streams)
    first_tries = [stream.tries[0] for stream in streams]
    assert len(resumptions) >= MIN_RESUMPTIONS
    assert find_torn(streams) == []
    assert len(find_mixed(streams)) == 0
    assert share_begun(resumptions) >= MIN_RELATIVE_SHARE * share_begun(first_tries)


@pytest.mark.parametrize('versions', [MIXED, SINGLE], ids=['mixed', 'single'])
def test_streams_go_on_while_the_store_is_silent(versions):
    """Guards against a lookup that needs the store."""
    streams = play(lose_instances_without_store, versions)
    lost = [stream for stream in streams if stream.tries[0].began_s < LAST_BEGIN_S]
    resumptions = find_resumptions(lost)
    assert len(resumptions) >= MIN_RESUMPTIONS / 2
    assert len(find_mixed(streams)) == 0
    assert share_begun(resumptions) >= MIN_RELATIVE_SHARE
