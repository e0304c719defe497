"""How soon a lost lease holder is followed, and what a lease costs the log."""

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


class LeaseRig:
    """Candidates for one lease, and a log that answers at once.

    :param seed: of the candidates' chance.
    """

    def __init__(self, seed: int) -> None:
        self.log = FakeLog()
        self.now_ms = 0
        self.keepers = [
            LeaseManager(
                LeaseSettings(), f'i{number}', random.Random(seed * 10 + number)
            )
            for number in range(CANDIDATES)
        ]
        for keeper in self.keepers:
            keeper.want(LEASE)

    def holder(self) -> LeaseManager | None:
        """Return who holds the lease."""
        for keeper in self.keepers:
            if keeper.holds(LEASE, self.now_ms) is not None:
                return keeper
        return None

    def step(self) -> None:
        """Advance the clock by a step."""
        self.now_ms += STEP_MS
        for keeper in self.keepers:
            self.perform(keeper, keeper.tick(self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Advance the clock by a duration."""
        for _ in range(0, duration_ms, STEP_MS):
            self.step()

    def perform(self, keeper: LeaseManager, actions: list[Action]) -> None:
        """Carry out a candidate's actions."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, AppendRecord):
                finished = self.log.append(action)
                actions += keeper.append_finished(finished, self.now_ms)
            elif isinstance(action, ReadRecords):
                actions += keeper.records_read(self.log.read(action), self.now_ms)

    def wait_for_holder(self) -> int:
        """Return how long it takes until somebody holds, in milliseconds."""
        begun_ms = self.now_ms
        while self.holder() is None:
            self.step()
        return self.now_ms - begun_ms


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure on a virtual clock; the baseline is the lease's duration.

    :param repeats: not used, because the clock is virtual.
    :param rng: chooses when the holder is lost.
    """
    del repeats
    duration_s = LeaseSettings().duration_ms / MS_PER_S
    lost = [_follow_lost(seed, rng) / MS_PER_S for seed in range(SAMPLES)]
    released = [_follow_released(seed, rng) / MS_PER_S for seed in range(SAMPLES)]
    appends_per_s, reads_per_s = _count_calm_hour()
    suffix = '/ duration of the lease'
    return [
        make_row(
            f'lost holder followed, median {suffix}',
            statistics.median(lost),
            's',
            duration_s,
        ),
        make_row(f'lost holder followed, worst {suffix}', max(lost), 's', duration_s),
        make_row(
            f'released lease followed, worst {suffix}', max(released), 's', duration_s
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


def _follow_lost(seed: int, rng: random.Random) -> int:
    rig = LeaseRig(seed)
    rig.run(SETTLE_MS + rng.randrange(SETTLE_MS))
    rig.keepers = [keeper for keeper in rig.keepers if keeper is not rig.holder()]
    return rig.wait_for_holder()


def _follow_released(seed: int, rng: random.Random) -> int:
    rig = LeaseRig(seed)
    rig.run(SETTLE_MS + rng.randrange(SETTLE_MS))
    holder = rig.holder()
    if holder is None:
        raise RuntimeError('nobody holds the lease')
    rig.perform(holder, holder.release(LEASE, rig.now_ms))
    return rig.wait_for_holder()


def _count_calm_hour() -> tuple[float, float]:
    rig = LeaseRig(1)
    rig.run(SETTLE_MS)
    rig.log.appends = rig.log.reads = 0
    rig.run(HOUR_MS)
    seconds = HOUR_MS / MS_PER_S
    return rig.log.appends / seconds, rig.log.reads / seconds
