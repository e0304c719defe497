"""Compares two ways to assign a duty: a lease in a topic, and a group with a partition.

Instances claim the lease by records of the topic, or join the group; the store provides
both. The benchmark measures the time without a holder after a fault and the calls of
each way, with a simulated store on virtual time.
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
OBSERVED_MS = 16_000
POLL_INTERVAL_MS = 20
# A member of a group that has not joined for this long loses its partition; members
# join three times as often.  The store accepts no time below 1 s.
GROUP_TTL_MS = 1_500
JOIN_INTERVAL_MS = 500
JOIN_MARGIN_MS = 100
# A join counts as this share of another call.
JOIN_WEIGHT = 0.1


class GroupModel:
    """A group with one partition, as the store assigns it."""

    def __init__(self) -> None:
        self.generation = 0
        self.owner: str | None = None
        self.seen_ms: dict[str, float] = {}
        self.joins = 0

    def join(self, member: str) -> tuple[int, bool]:
        """Refresh a member; return the generation and whether it owns the partition."""
        self.joins += 1
        now_ms = loop_ms()
        if member not in self.seen_ms:
            self.generation += 1
        self.seen_ms[member] = now_ms
        for expired in [
            member_name
            for member_name, seen_ms in self.seen_ms.items()
            if now_ms - seen_ms > GROUP_TTL_MS
        ]:
            del self.seen_ms[expired]
            self.generation += 1
        if self.owner not in self.seen_ms:
            self.owner = member
            self.generation += 1
        return self.generation, self.owner == member

    def reassign(self, rng: random.Random) -> None:
        """Reassign the partition without a request."""
        self.owner = rng.choice(sorted(self.seen_ms))
        self.generation += 1


class GroupClaims(DutyClaims):
    """Holds duties while it owns the partition; reports settle as with a lease."""

    group: GroupModel
    topic: InstanceTopic
    member: str
    _owned_until_ms = 0.0
    _generation = 0
    _joining: asyncio.Task[None] | None = None
    _next_join_ms = 0.0

    def tick(self, now_ms: int, *, should_hold: bool) -> list[ConditionalWrite]:
        """Join the group at each interval."""
        if should_hold and now_ms >= self._next_join_ms:
            self._next_join_ms = now_ms + JOIN_INTERVAL_MS
            self._joining = asyncio.get_running_loop().create_task(self._join(now_ms))
        return []

    async def _join(self, now_ms: int) -> None:
        try:
            await self.topic.reach_store()
        except StoreUnavailableError:
            return
        generation, is_owner = self.group.join(self.member)
        self._generation = generation
        self._owned_until_ms = (
            now_ms + GROUP_TTL_MS - JOIN_MARGIN_MS if is_owner else 0.0
        )

    def fencing_number(self, now_ms: int) -> int | None:
        """Return era and generation while this member owns the partition."""
        if (
            now_ms >= self._owned_until_ms
            or self._store_era.current != self.records.era
        ):
            return None
        return number_in_era(self.records.era, self._generation)


class FaultOutcome(NamedTuple):
    """The result of one simulated fault."""

    gap_ms: float
    calls_per_minute: float


class Fault(NamedTuple):
    """A fault of the holder or of the store; ``inject`` returns when it is over."""

    name: str
    inject: Callable[[DutySimulation, int], Awaitable[None]]


async def _kill(simulation: DutySimulation, holder: int) -> None:
    simulation.instances[holder].kill()
    await sleep_ms(FAULT_MS)


async def _suspend(simulation: DutySimulation, holder: int) -> None:
    simulation.instances[holder].connection.pause()
    await sleep_ms(FAULT_MS)
    simulation.instances[holder].connection.resume()


async def _cut_from_store(simulation: DutySimulation, holder: int) -> None:
    simulation.instances[holder].connection.cut_from_store = True
    await sleep_ms(FAULT_MS)
    simulation.instances[holder].connection.cut_from_store = False


async def _store_down(simulation: DutySimulation, holder: int) -> None:
    del holder
    simulation.store.is_down = True
    await sleep_ms(FAULT_MS)
    simulation.store.is_down = False


async def _store_slow(simulation: DutySimulation, holder: int) -> None:
    del holder
    simulation.store.faults = CallFaults(slow_ms=230)
    await sleep_ms(FAULT_MS)
    simulation.store.faults = CallFaults()


async def _lose_responses(simulation: DutySimulation, holder: int) -> None:
    del holder
    simulation.store.faults = CallFaults(lost=0.3)
    await sleep_ms(FAULT_MS)
    simulation.store.faults = CallFaults()


async def _restore_older_copy(simulation: DutySimulation, holder: int) -> None:
    del holder
    simulation.store.restore_older_copy(3_000)


async def _reassign_partition(simulation: DutySimulation, holder: int) -> None:
    del holder
    if hasattr(simulation, 'group'):
        simulation.group.reassign(simulation.rng)


FAULTS = (
    Fault('holder killed', _kill),
    Fault('holder paused 4 s', _suspend),
    Fault('holder cut from the store 4 s', _cut_from_store),
    Fault('store down 4 s', _store_down),
    Fault('store slow 4 s', _store_slow),
    Fault('3 of 10 answers lost 4 s', _lose_responses),
    Fault('store back from an older copy', _restore_older_copy),
    Fault('all parts dealt anew', _reassign_partition),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Return the longest time without a holder and the calls of both ways."""
    del repeats, rng
    rows = []
    for fault in FAULTS:
        lease = [_simulate(seed, fault, use_group=False) for seed in SEEDS]
        group = [_simulate(seed, fault, use_group=True) for seed in SEEDS]
        for name, aggregate in (('median', statistics.median), ('worst', max)):
            group_value = aggregate(outcome.gap_ms for outcome in group)
            lease_value = aggregate(outcome.gap_ms for outcome in lease)
            label = f'no holder, {fault.name}, {name}: lease (baseline: group)'
            rows.append(make_row(label, lease_value, 'ms', group_value))
    calls = [outcome.calls_per_minute for outcome in lease]
    group_value = [outcome.calls_per_minute for outcome in group]
    label = 'calls of three candidates: lease (baseline: group)'
    unit = 'calls/min'
    rows.append(
        make_row(label, statistics.median(calls), unit, statistics.median(group_value))
    )
    return rows


def _simulate(seed: int, fault: Fault, *, use_group: bool) -> FaultOutcome:
    async def main() -> FaultOutcome:
        simulation: Any = DutySimulation(seed)
        if use_group:
            simulation.group = GroupModel()
            for instance in simulation.instances:
                _join_group(simulation, instance)
        await sleep_ms(STEADY_MS + seed * 130)
        calls_per_minute = _count_calls(simulation) * 60_000 / loop_ms()
        while simulation.holder() is None:
            await sleep_ms(POLL_INTERVAL_MS)
        injection = asyncio.create_task(fault.inject(simulation, simulation.holder()))
        longest_ms = await _longest_gap(simulation)
        await injection
        simulation.stop()
        return FaultOutcome(longest_ms, calls_per_minute)

    return run_simulation(main())


def _join_group(simulation: Any, instance: Instance) -> None:
    claims = instance.claims
    claims.__class__ = GroupClaims
    claims.group = simulation.group
    claims.member = instance.name
    claims.topic = instance.worker._topic


def _count_calls(simulation: Any) -> float:
    if not hasattr(simulation, 'group'):
        return float(simulation.store.calls)
    other_calls = simulation.store.calls - simulation.group.joins
    return float(other_calls + JOIN_WEIGHT * simulation.group.joins)


async def _longest_gap(simulation: DutySimulation) -> float:
    """Return the longest time in which no available instance held the duties."""
    longest_ms = 0.0
    gap_start_ms: float | None = None
    end_ms = loop_ms() + OBSERVED_MS
    while loop_ms() < end_ms:
        await sleep_ms(POLL_INTERVAL_MS)
        holds = any(
            instance.is_holder()
            for instance in simulation.instances
            if instance.is_available()
        )
        if holds:
            gap_start_ms = None
            continue
        gap_start_ms = loop_ms() if gap_start_ms is None else gap_start_ms
        longest_ms = max(longest_ms, loop_ms() - gap_start_ms)
    return longest_ms
