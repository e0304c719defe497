"""Time until a lost lease holder is replaced, and the log traffic of a lease."""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row
from benches.configuration_rig import FakeLog
from savorychute.actions.append_record import AppendRecord
from savorychute.actions.read_records import ReadRecords
from savorychute.leases.lease_manager import LeaseManager
from savorychute.leases.lease_settings import LeaseSettings

if TYPE_CHECKING:
    from savorychute.actions import Action

LEASE = 'placement:north'
CANDIDATES = 3
SAMPLES = 40
STEP_MS = 50
SETTLE_MS = 20_000
HOUR_MS = 3_600_000
MS_PER_S = 1_000


class LeaseSimulation:
    """Candidates for one lease and a log that responds at once.

    :param seed: seed of the candidates.
    """

    def __init__(self, seed: int) -> None:
        self.log = FakeLog()
        self.now_ms = 0
        self.candidates = [
            LeaseManager(
                LeaseSettings(), f'i{number}', random.Random(seed * 10 + number)
            )
            for number in range(CANDIDATES)
        ]
        for candidate in self.candidates:
            candidate.want(LEASE)

    def holder(self) -> LeaseManager | None:
        """Return the candidate that holds the lease, or None."""
        for candidate in self.candidates:
            if candidate.holds(LEASE, self.now_ms) is not None:
                return candidate
        return None

    def step(self) -> None:
        """Advance the clock by a step."""
        self.now_ms += STEP_MS
        for candidate in self.candidates:
            self.perform(candidate, candidate.tick(self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Advance the clock by a duration."""
        for _ in range(0, duration_ms, STEP_MS):
            self.step()

    def perform(self, candidate: LeaseManager, actions: list[Action]) -> None:
        """Execute the actions of a candidate."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, AppendRecord):
                finished = self.log.append(action)
                actions += candidate.append_finished(finished, self.now_ms)
            elif isinstance(action, ReadRecords):
                actions += candidate.records_read(self.log.read(action), self.now_ms)

    def wait_for_holder(self) -> int:
        """Run until a candidate holds the lease; return the time in milliseconds."""
        start_ms = self.now_ms
        while self.holder() is None:
            self.step()
        return self.now_ms - start_ms


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure on a virtual clock; the baseline is the duration of the lease.

    :param repeats: not used, because the clock is virtual.
    :param rng: chooses the time at which the holder is lost.
    """
    del repeats
    duration_s = LeaseSettings().duration_ms / MS_PER_S
    lost_holder_s = [
        _measure_lost_holder(seed, rng) / MS_PER_S for seed in range(SAMPLES)
    ]
    released_lease_s = [
        _measure_released_lease(seed, rng) / MS_PER_S for seed in range(SAMPLES)
    ]
    appends_per_s, reads_per_s = _count_quiet_hour()
    suffix = '/ duration of the lease'
    return [
        make_row(
            f'lost holder followed, median {suffix}',
            statistics.median(lost_holder_s),
            's',
            duration_s,
        ),
        make_row(
            f'lost holder followed, worst {suffix}', max(lost_holder_s), 's', duration_s
        ),
        make_row(
            f'released lease followed, worst {suffix}',
            max(released_lease_s),
            's',
            duration_s,
        ),
        make_row(
            'appends by lease / one in each duration',
            appends_per_s,
            '1/s',
            1 / duration_s,
        ),
        make_row(
            'reads by candidate / one in each duration',
            reads_per_s / CANDIDATES,
            '1/s',
            1 / duration_s,
        ),
    ]


def _measure_lost_holder(seed: int, rng: random.Random) -> int:
    simulation = LeaseSimulation(seed)
    simulation.run(SETTLE_MS + rng.randrange(SETTLE_MS))
    simulation.candidates = [
        candidate
        for candidate in simulation.candidates
        if candidate is not simulation.holder()
    ]
    return simulation.wait_for_holder()


def _measure_released_lease(seed: int, rng: random.Random) -> int:
    simulation = LeaseSimulation(seed)
    simulation.run(SETTLE_MS + rng.randrange(SETTLE_MS))
    holder = simulation.holder()
    if holder is None:
        raise RuntimeError('no candidate holds the lease')
    simulation.perform(holder, holder.release(LEASE, simulation.now_ms))
    return simulation.wait_for_holder()


def _count_quiet_hour() -> tuple[float, float]:
    simulation = LeaseSimulation(1)
    simulation.run(SETTLE_MS)
    simulation.log.appends = simulation.log.reads = 0
    simulation.run(HOUR_MS)
    seconds = HOUR_MS / MS_PER_S
    return simulation.log.appends / seconds, simulation.log.reads / seconds
