"""Laws of streams that go on at one software version, over many instances."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest
from stream_simulation import StreamFleet

from savorychute.testing.virtual_loop import run_virtual

# With seed 44 an instance began a stream before it had read the marks.
SEEDS = (*range(12), 44)
ENDPOINTS = 6
SETTLE_S = 4.0
DURATION_S = 20.0
STREAMS_PER_S = 26.0
KILL_INTERVAL_S = 3.0
MAX_EVENT_GAP_S = 1.5
OUTAGE_S = (0.5, 4.0)
MAX_LOST_RECORDS = 30
# Of the streams that callers take up, the share whose origin must be known.
MIN_KNOWN_SHARE = 0.5
SINGLE = ('v1',)
MIXED = ('v1', 'v2')


def play(disturb, versions, instances=8, rate_per_s=STREAMS_PER_S, seed=1):
    """Return a fleet after callers have begun streams during a disturbance."""

    async def main():
        fleet = StreamFleet(instances, seed)
        for number in range(ENDPOINTS):
            fleet.add_endpoint(f'e{number}', versions[number % len(versions)])
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        disturbing = asyncio.create_task(disturb(fleet))
        await fleet.begin_streams(rate_per_s, DURATION_S)
        disturbing.cancel()
        fleet.stop()
        return fleet

    return run_virtual(main(), sockets=False)


async def kill_one(fleet):
    while True:
        await asyncio.sleep(1.0)
        fleet.kill([fleet.rng.choice(fleet.alive())])


async def kill_most(fleet):
    while True:
        await asyncio.sleep(KILL_INTERVAL_S)
        alive = fleet.alive()
        fleet.kill(fleet.rng.sample(alive, 6 * len(alive) // 10))


async def kill_all_but_one(fleet):
    while True:
        await asyncio.sleep(KILL_INTERVAL_S)
        alive = fleet.alive()
        fleet.kill(fleet.rng.sample(alive, len(alive) - 1))


async def kill_all(fleet):
    while True:
        await asyncio.sleep(KILL_INTERVAL_S)
        fleet.kill(fleet.alive())


async def lose_instances_without_store(fleet):
    """Lose three of eight instances; without the store none can start."""
    fleet.store.is_down = True
    for instance in fleet.rng.sample(fleet.alive(), 3):
        await asyncio.sleep(2.0)
        fleet.kill([instance], down_s=1_000)


KILLS = [kill_one, kill_most, kill_all_but_one, kill_all]


@pytest.mark.parametrize('disturb', KILLS)
@pytest.mark.parametrize('versions', [SINGLE, MIXED], ids=['single', 'mixed'])
def test_origin_is_known_after_a_loss_of_instances(disturb, versions):
    """Guards against refusals of streams whose instances are gone."""
    fleet = play(disturb, versions)
    assert fleet.wrong == []
    assert len(fleet.resumptions) > 50
    assert fleet.known_share() >= (1.0 if versions is SINGLE else MIN_KNOWN_SHARE)


@pytest.mark.parametrize('versions', [SINGLE, MIXED], ids=['single', 'mixed'])
def test_origin_is_known_while_the_store_is_silent(versions):
    """Guards against origins that only the store knows."""
    fleet = play(lose_instances_without_store, versions)
    assert fleet.wrong == []
    assert len(fleet.resumptions) >= 12
    assert fleet.known_share() >= MIN_KNOWN_SHARE


def test_streams_of_one_version_cost_no_calls_to_the_store():
    """Guards against a price of records for services that need none."""

    async def wait(fleet):
        fleet.store.calls.clear()
        await asyncio.sleep(2 * DURATION_S)

    assert play(wait, SINGLE).store.calls == Counter()


async def release(fleet, rng):
    """Replace the endpoints one after the other by those of the next version."""
    generation = 2
    while True:
        for name in list(fleet.endpoints):
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            fleet.add_endpoint(f'{name}+', f'v{generation}')
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            fleet.remove_endpoint(name)
        generation += 1


async def disturb_store(fleet, rng):
    """Let the store fall silent, reject instances, or go back to an older copy."""
    while True:
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        event = rng.choice(('down', 'cut', 'back'))
        if event == 'down':
            fleet.store.is_down = True
            await asyncio.sleep(rng.uniform(*OUTAGE_S))
            fleet.store.is_down = False
        elif event == 'cut':
            rejected = rng.sample(fleet.alive(), rng.randint(1, len(fleet.alive())))
            for instance in rejected:
                instance.is_cut_from_store = True
            await asyncio.sleep(rng.uniform(*OUTAGE_S))
            for instance in rejected:
                instance.is_cut_from_store = False
        else:
            fleet.store.go_back(rng.randint(0, MAX_LOST_RECORDS))


async def disturb_instances(fleet, rng):
    """Kill, pause and cut off instances in a random order."""
    while True:
        await asyncio.sleep(rng.uniform(0.1, MAX_EVENT_GAP_S))
        alive = fleet.alive()
        if not alive:
            continue
        event = rng.choice(('kill', 'kill', 'most', 'all', 'pause', 'cut', 'heal'))
        if event == 'kill':
            fleet.kill([rng.choice(alive)])
        elif event == 'most':
            fleet.kill(rng.sample(alive, max(1, 6 * len(alive) // 10)))
        elif event == 'all':
            fleet.kill(alive)
        elif event == 'pause':
            fleet.pause(rng.choice(alive), rng.uniform(*OUTAGE_S))
        elif event == 'cut':
            fleet.cut(rng.sample(alive, rng.randint(1, len(alive))), 1)
        else:
            fleet.cut(alive, 0)


def disturb_all(seed):
    """Return a disturbance of instances, of the store and of endpoints at once."""

    async def disturb(fleet):
        rng = random.Random(seed)
        async with asyncio.TaskGroup() as group:
            group.create_task(disturb_instances(fleet, random.Random(rng.random())))
            group.create_task(disturb_store(fleet, random.Random(rng.random())))
            group.create_task(release(fleet, random.Random(rng.random())))

    return disturb


@pytest.mark.parametrize('seed', SEEDS)
def test_no_origin_is_guessed_under_any_disturbance(seed):
    """Guards against an origin that follows from what an instance does not know."""
    versions = (SINGLE, MIXED, ('v1', 'v2', 'v3'), ('v1',) * 5 + ('v2',))[seed % 4]
    fleet = play(disturb_all(seed), versions, instances=3 + seed % 6, seed=seed)
    assert fleet.wrong == []
    assert len(fleet.resumptions) > 50


@pytest.mark.parametrize('disturb', [kill_one, kill_all])
def test_origin_is_known_in_a_large_fleet(disturb):
    """Guards against records that are looked for where nobody keeps them."""
    fleet = play(disturb, MIXED, instances=65, rate_per_s=120.0)
    assert fleet.wrong == []
    assert fleet.known_share() >= MIN_KNOWN_SHARE
