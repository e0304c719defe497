"""Two ways to hold a duty: a lease of claims in a topic, and a group joined on the store.

How long nobody holds the duty after a fault, and how many calls each way makes, in a model of
the store on virtual time.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from benches.bench_row import BenchRow, make_row
from savorychute.gateway.duties.duty_claims import DutyClaims
from savorychute.gateway.store.store_era import number_in_era
from savorychute.gateway.store.store_errors import StoreUnavailableError

sys.path.append(str(Path(__file__).parents[1] / 'tests' / 'test_duties'))

from duty_simulation import (
    CallFaults,
    DutySimulation,
    Instance,
    InstanceTopic,
    loop_ms,
    run_simulation,
    sleep_ms,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from savorychute.gateway.duties.conditional_write import ConditionalWrite

SEEDS = range(12)
STEADY_MS = 30_000
FAULT_MS = 4_000
AFTER_MS = 16_000
LOOK_MS = 20
# A member of a group is silent for this long before another one gets its part, and joins
# three times as often.  The store takes no shorter time than a second.
GROUP_TTL_MS = 1_500
JOIN_MS = 500
JOIN_MARGIN_MS = 100
# A call that joins counts as this part of another call.
JOIN_WEIGHT = 0.1


class GroupModel:
    """The group with its one partition, as the store deals it."""

    def __init__(self) -> None:
        self.generation = 0
        self.owner: str | None = None
        self.seen_ms: dict[str, float] = {}
        self.joins = 0

    def join(self, member: str) -> tuple[int, bool]:
        """Keep a member in the group; return the generation and whether it owns."""
        self.joins += 1
        now_ms = loop_ms()
        if member not in self.seen_ms:
            self.generation += 1
        self.seen_ms[member] = now_ms
        for silent in [
            each
            for each, seen_ms in self.seen_ms.items()
            if now_ms - seen_ms > GROUP_TTL_MS
        ]:
            del self.seen_ms[silent]
            self.generation += 1
        if self.owner not in self.seen_ms:
            self.owner = member
            self.generation += 1
        return self.generation, self.owner == member

    def deal(self, rng: random.Random) -> None:
        """Deal the partition anew, unasked."""
        self.owner = rng.choice(sorted(self.seen_ms))
        self.generation += 1


class GroupClaims(DutyClaims):
    """Holds the duties for as long as the group says so; reports are settled as before."""

    group: GroupModel
    topic: InstanceTopic
    member: str
    _until_ms = 0.0
    _generation = 0
    _joining: asyncio.Task[None] | None = None
    _next_ms = 0.0

    def tick(self, now_ms: int, *, should_hold: bool) -> list[ConditionalWrite]:
        """Join from time to time."""
        if should_hold and now_ms >= self._next_ms:
            self._next_ms = now_ms + JOIN_MS
            self._joining = asyncio.get_running_loop().create_task(self._join(now_ms))
        return []

    async def _join(self, now_ms: int) -> None:
        try:
            await self.topic.reach_store()
        except StoreUnavailableError:
            return
        generation, owns = self.group.join(self.member)
        self._generation = generation
        self._until_ms = now_ms + GROUP_TTL_MS - JOIN_MARGIN_MS if owns else 0.0

    def fencing_number(self, now_ms: int) -> int | None:
        """Return era and generation while the partition is this member's."""
        if now_ms >= self._until_ms or self._store_era.current != self.records.era:
            return None
        return number_in_era(self.records.era, self._generation)


class Outcome(NamedTuple):
    """What one play of a fault showed."""

    gap_ms: float
    calls_per_minute: float


class Fault(NamedTuple):
    """What happens to the holder or to the store, and how long it lasts."""

    name: str
    strike: Callable[[DutySimulation, int], Awaitable[None]]


async def _kill(world: DutySimulation, holder: int) -> None:
    world.instances[holder].kill()
    await sleep_ms(FAULT_MS)


async def _freeze(world: DutySimulation, holder: int) -> None:
    world.instances[holder].connection.pause()
    await sleep_ms(FAULT_MS)
    world.instances[holder].connection.resume()


async def _cut(world: DutySimulation, holder: int) -> None:
    world.instances[holder].connection.cut_from_store = True
    await sleep_ms(FAULT_MS)
    world.instances[holder].connection.cut_from_store = False


async def _store_down(world: DutySimulation, holder: int) -> None:
    del holder
    world.store.is_down = True
    await sleep_ms(FAULT_MS)
    world.store.is_down = False


async def _store_slow(world: DutySimulation, holder: int) -> None:
    del holder
    world.store.faults = CallFaults(slow_ms=230)
    await sleep_ms(FAULT_MS)
    world.store.faults = CallFaults()


async def _answers_lost(world: DutySimulation, holder: int) -> None:
    del holder
    world.store.faults = CallFaults(lost=0.3)
    await sleep_ms(FAULT_MS)
    world.store.faults = CallFaults()


async def _older_copy(world: DutySimulation, holder: int) -> None:
    del holder
    world.store.restore_older_copy(3_000)


async def _dealt_anew(world: DutySimulation, holder: int) -> None:
    del holder
    if hasattr(world, 'group'):
        world.group.deal(world.rng)


FAULTS = (
    Fault('holder killed', _kill),
    Fault('holder paused 4 s', _freeze),
    Fault('holder cut from the store 4 s', _cut),
    Fault('store down 4 s', _store_down),
    Fault('store slow 4 s', _store_slow),
    Fault('3 of 10 answers lost 4 s', _answers_lost),
    Fault('store back from an older copy', _older_copy),
    Fault('all parts dealt anew', _dealt_anew),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Return the longest time without a holder, and the calls, of both ways."""
    del repeats, rng
    rows = []
    for fault in FAULTS:
        lease = [_play(seed, fault, joined=False) for seed in SEEDS]
        group = [_play(seed, fault, joined=True) for seed in SEEDS]
        for name, pick in (('median', statistics.median), ('worst', max)):
            of_group = pick(each.gap_ms for each in group)
            of_lease = pick(each.gap_ms for each in lease)
            label = f'no holder, {fault.name}, {name}: lease (baseline: group)'
            rows.append(make_row(label, of_lease, 'ms', of_group))
    calls = [each.calls_per_minute for each in lease]
    of_group = [each.calls_per_minute for each in group]
    label = 'calls of three candidates: lease (baseline: group)'
    unit = 'calls/min'
    rows.append(
        make_row(label, statistics.median(calls), unit, statistics.median(of_group))
    )
    return rows


def _play(seed: int, fault: Fault, *, joined: bool) -> Outcome:
    async def main() -> Outcome:
        world: Any = DutySimulation(seed)
        if joined:
            world.group = GroupModel()
            for each in world.instances:
                _join_group(world, each)
        await sleep_ms(STEADY_MS + seed * 130)
        calls_per_minute = _calls(world) * 60_000 / loop_ms()
        while world.holder() is None:
            await sleep_ms(LOOK_MS)
        strike = asyncio.create_task(fault.strike(world, world.holder()))
        longest_ms = await _longest_gap(world)
        await strike
        world.stop()
        return Outcome(longest_ms, calls_per_minute)

    return run_simulation(main())


def _join_group(world: Any, instance: Instance) -> None:
    claims = instance.claims
    claims.__class__ = GroupClaims
    claims.group = world.group
    claims.member = instance.name
    claims.topic = instance.worker._topic


def _calls(world: Any) -> float:
    if not hasattr(world, 'group'):
        return float(world.store.calls)
    others = world.store.calls - world.group.joins
    return float(others + JOIN_WEIGHT * world.group.joins)


async def _longest_gap(world: DutySimulation) -> float:
    """Return the longest time in which no living instance held the duties."""
    longest_ms = 0.0
    since_ms: float | None = None
    end_ms = loop_ms() + AFTER_MS
    while loop_ms() < end_ms:
        await sleep_ms(LOOK_MS)
        holds = any(each.is_holder() for each in world.instances if each.is_available())
        if holds:
            since_ms = None
            continue
        since_ms = loop_ms() if since_ms is None else since_ms
        longest_ms = max(longest_ms, loop_ms() - since_ms)
    return longest_ms
