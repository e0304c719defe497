"""Laws of requests that crash engines, over many instances."""

from __future__ import annotations

import asyncio
import random

import pytest
from crash_simulation import CrashFleet

from savorychute.testing.virtual_loop import run_virtual

SEEDS = range(12)
LATE_ARRIVALS = 3
MIN_RELATIVE_SHARE = 0.5
# Of the first tries of sound requests, the share that begins while engines crash by
# themselves.
MIN_INNOCENT_SHARE = 0.9
SETTLE_S = 11.0
CALM_S = 4.0
DURATION_S = 20.0
LEARNED_S = 6.0
SYSTEM_PROMPTS = ('5a0', '5a1', '5a2')


class Traffic:
    """Draws the parts of sound and of bad requests."""

    def __init__(self, rng, documents=30, prompts=None):
        self._rng = rng
        self._documents = documents
        self._prompts = prompts or (('5a0', 'bad0'),)

    def make_sound(self):
        document = min(int(self._rng.expovariate(0.2)), self._documents - 1)
        return self._rng.choice(SYSTEM_PROMPTS), f'd{document}'

    def make_bad(self):
        return self._rng.choice(self._prompts)


def play(disturb, rates=(40.0, 8.0), prompts=None, documents=30, **fields):
    """Return a fleet and the times from which to judge it.

    :param disturb: the disturbance, from the first bad request on.
    :param rates: sound and bad requests a second, of all callers.
    :param prompts: the lists of parts of bad requests.
    """

    async def main():
        fleet = CrashFleet(**fields)
        traffic = Traffic(fleet.rng, documents, prompts)
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        sound = fleet.send(
            traffic.make_sound, rates[0], CALM_S + DURATION_S, fleet.first_tries
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(sound)
            await asyncio.sleep(CALM_S)
            disturbing = asyncio.create_task(disturb(fleet))
            if rates[1]:
                group.create_task(fleet.send(traffic.make_bad, rates[1], DURATION_S))
            await asyncio.sleep(DURATION_S)
            disturbing.cancel()
        await fleet.stop()
        return fleet

    return run_virtual(main(), sockets=False)


def check_laws(fleet):
    """Check what callers and engines see, from outside."""
    begin_s = SETTLE_S + CALM_S
    learned_s = begin_s + LEARNED_S
    for part in fleet.bad_parts:
        assert fleet.count_late(part) <= LATE_ARRIVALS
        times_s = fleet.crash_times(part)[:5]
        learned_s = max(learned_s, times_s[-1] + LEARNED_S if times_s else 0)
    before = fleet.share_begun(SETTLE_S, begin_s)
    after = fleet.share_begun(learned_s, begin_s + DURATION_S)
    assert after >= MIN_RELATIVE_SHARE * before


async def disturb_nothing(fleet):
    del fleet


async def kill_one(fleet):
    while True:
        await asyncio.sleep(1.0)
        fleet.kill([fleet.rng.choice(fleet.alive())])


async def kill_most(fleet):
    while True:
        await asyncio.sleep(3.0)
        alive = fleet.alive()
        fleet.kill(fleet.rng.sample(alive, 6 * len(alive) // 10))


async def kill_all(fleet):
    while True:
        await asyncio.sleep(3.0)
        fleet.kill(fleet.alive())


async def crash_engines(fleet):
    """Crash one engine each second that no request is to blame for."""
    while True:
        await asyncio.sleep(1.0)
        fleet.rng.choice(fleet.engines).crash()


async def crash_racks(fleet):
    """Crash a third of the engines at once, again and again."""
    while True:
        await asyncio.sleep(fleet.rng.uniform(2.0, 4.0))
        for engine in fleet.rng.sample(fleet.engines, len(fleet.engines) // 3):
            engine.crash()


async def crash_all_engines(fleet):
    while True:
        await asyncio.sleep(5.0)
        for engine in fleet.engines:
            engine.crash()


async def crash_one_engine_again_and_again(fleet):
    while True:
        await asyncio.sleep(0.3)
        fleet.engines[0].crash()


async def lose_store(fleet):
    """Let the store be silent, and kill some instances one after the other."""
    fleet.disturb_store(is_down=True)
    for instance in fleet.rng.sample(fleet.alive(), len(fleet.alive()) // 3):
        await asyncio.sleep(2.0)
        fleet.kill([instance], down_s=1_000)


async def disturb_instances(fleet):
    """Kill, pause and cut off instances in a random order."""
    rng = random.Random(fleet.rng.random())
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.5))
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
            fleet.pause(rng.choice(alive), rng.uniform(0.5, 4.0))
        elif event == 'cut':
            fleet.cut(rng.sample(alive, rng.randint(1, len(alive))), 1)
        else:
            fleet.cut(alive, 0)


async def disturb_store(fleet):
    """Let the store fall silent, reject instances, or go back to an older copy."""
    rng = random.Random(fleet.rng.random())
    while True:
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        event = rng.choice(('down', 'back'))
        if event == 'back':
            fleet.lose_records(rng.randint(0, 5))
            continue
        fleet.disturb_store(is_down=True)
        try:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
        finally:
            fleet.disturb_store(is_down=False)


async def disturb_all(fleet):
    async with asyncio.TaskGroup() as group:
        group.create_task(disturb_instances(fleet))
        group.create_task(disturb_store(fleet))
        group.create_task(crash_engines(fleet))


DISTURBANCES = [
    disturb_nothing,
    kill_one,
    kill_most,
    kill_all,
    crash_engines,
    crash_racks,
    lose_store,
]
PROMPTS = {
    'plain': {},
    'first': {'prompts': (('bad0',),)},
    'between-sound-ones': {'prompts': (('5a0', 'bad0', 'd0'), ('5a1', 'bad0', 'd1'))},
    'beside-a-rare-one': {'prompts': (('5a0', 'bad0', 'ra4e'),)},
    'two': {
        'prompts': (('5a0', 'bad0'), ('5a1', 'bad1')),
        'bad_parts': ('bad0', 'bad1'),
    },
}


@pytest.mark.parametrize('disturb', DISTURBANCES)
@pytest.mark.parametrize('prompts', PROMPTS.values(), ids=PROMPTS)
def test_bad_part_is_kept_from_engines_and_sound_ones_are_served(prompts, disturb):
    """Guards against parts that crash engines, and against too broad a remedy."""
    check_laws(play(disturb, **prompts))


@pytest.mark.parametrize('slots', [1, 4, 64])
def test_slots_of_engines_do_not_matter(slots):
    """Guards against blame for the company of a bad request at an engine."""
    rates = (8.0, 2.0) if slots == 1 else (40.0, 8.0)
    check_laws(play(disturb_nothing, rates=rates, slots=slots))


@pytest.mark.parametrize('rates', [(2.0, 8.0), (40.0, 0.5), (40.0, 40.0)])
def test_rates_of_requests_do_not_matter(rates):
    """Guards against parts that come rarely, or hardly beside sound ones."""
    check_laws(play(disturb_nothing, rates=rates))


INNOCENT = [
    crash_engines,
    crash_racks,
    crash_all_engines,
    crash_one_engine_again_and_again,
]


@pytest.mark.parametrize('disturb', INNOCENT)
@pytest.mark.parametrize('documents', [3, 30, 100_000])
def test_nothing_is_convicted_for_crashes_of_engines(disturb, documents):
    """Guards against refusals of sound requests when engines crash by themselves."""
    fleet = play(disturb, rates=(40.0, 0.0), documents=documents, bad_parts=())
    assert fleet.refused.total() == 0
    verdicts = [len(each.guard.judge.verdicts) for each in fleet.instances.values()]
    assert max(verdicts) == 0


@pytest.mark.parametrize('disturb', [crash_engines, crash_racks])
def test_sound_requests_begin_while_engines_crash_by_themselves(disturb):
    """Guards against a brake on sound requests that costs more than the crashes do."""
    fleet = play(disturb, rates=(40.0, 0.0), bad_parts=())
    begin_s = SETTLE_S + CALM_S
    share = fleet.share_begun(begin_s, begin_s + DURATION_S)
    assert share >= MIN_INNOCENT_SHARE


@pytest.mark.parametrize('seed', SEEDS)
def test_laws_hold_under_any_disturbance(seed):
    """Guards against verdicts that a loss of instances or of the store undoes."""
    rng = random.Random(seed)
    prompts = rng.choice(list(PROMPTS.values()))
    rates = rng.uniform(10, 80), rng.uniform(1, 20)
    fleet = play(
        disturb_all,
        rates,
        documents=rng.choice((3, 30, 1_000)),
        instances=rng.randint(2, 10),
        engines=rng.randint(4, 16),
        slots=rng.choice((4, 16, 64)),
        seed=seed,
        **prompts,
    )
    for part in fleet.bad_parts:
        assert fleet.count_late(part) <= LATE_ARRIVALS


@pytest.mark.parametrize('disturb', [disturb_nothing, kill_one, kill_all])
def test_laws_hold_in_a_large_fleet(disturb):
    """Guards against news that do not reach all instances."""
    check_laws(play(disturb, (200.0, 20.0), instances=65, engines=30))
