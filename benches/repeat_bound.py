"""Share of the retry bound that a fleet uses, by its size and by preceding faults.

All endpoints refuse every attempt, and every instance retries as often as it can, on
virtual time. The share is measured in the first window of a retry storm after a calm
period: without faults, with most instances killed just before the storm, and with most
instances killed in it.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from savorychute.gateway.recovery.retry_allowance import RetryBounds

sys.path.append(str(Path(__file__).parents[1] / 'tests' / 'test_gateway'))

from retry_fixture import TICK_MS, RetryFleet

if TYPE_CHECKING:
    import random

RATIO = 0.2
WINDOW_MS = 10_000
CALM_MS = 30_000
STORM_MS = 20_000
# Time from the start of the storm until instances are killed in it.
KILL_DELAY_MS = 3_000
KILLED_SHARE = 0.8
MS_PER_S = 1_000


class FleetSize(NamedTuple):
    """The size of a fleet: its instances, their shared slack and request rate."""

    instances: int
    slack: float
    requests_per_s: float


SIZES = (
    FleetSize(8, 56, 32),
    FleetSize(65, 170, 104),
    FleetSize(195, 430, 193),
    FleetSize(530, 1_170, 15_000),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:  # noqa: ARG001
    """Measure each size once, as the simulation is deterministic.

    :param repeats: not used.
    :param rng: not used.
    """
    rows = []
    for size in SIZES:
        label = f'{size.instances} instances'
        undisturbed = simulate(size, (), ())
        used = measure_used_share(undisturbed)
        rows.append(make_row(f'{label}, bound used', used, 'share', 1.0))
        before = measure_used_share(simulate(size, choose_killed(size), ()))
        rows.append(make_row(f'{label}, most killed before', before, 'share', used))
        within = measure_used_share(simulate(size, (), choose_killed(size)))
        rows.append(make_row(f'{label}, most killed in it', within, 'share', used))
        writes = len(undisturbed.topic.records) / size.instances
        rows.append(make_row(f'{label}, writes', writes, 'a run', 0.0))
    return rows


def choose_killed(size: FleetSize) -> tuple[str, ...]:
    """Return the names of the instances that are killed."""
    return tuple(f'k{number}' for number in range(int(KILLED_SHARE * size.instances)))


def simulate(
    size: FleetSize, before: tuple[str, ...], within: tuple[str, ...]
) -> RetryFleet:
    """Simulate a calm period and a retry storm.

    :param size: the size of the fleet.
    :param before: instances that are killed at the end of the calm period.
    :param within: instances that are killed in the storm.
    """
    requests = size.requests_per_s / size.instances * TICK_MS / MS_PER_S
    bounds = RetryBounds(RATIO, WINDOW_MS, size.slack)
    fleet = RetryFleet(size.instances, requests, bounds)
    advance(fleet, CALM_MS)
    restart(fleet, before)
    fleet.storm = True
    advance(fleet, KILL_DELAY_MS)
    restart(fleet, within)
    advance(fleet, STORM_MS - KILL_DELAY_MS)
    return fleet


def advance(fleet: RetryFleet, duration_ms: int) -> None:
    """Advance the clock of the fleet."""
    for _ in range(duration_ms // TICK_MS):
        fleet.tick()


def restart(fleet: RetryFleet, names: tuple[str, ...]) -> None:
    """Kill instances and start them again at once."""
    for name in names:
        fleet.kill(name)
        fleet.start(name)
    if names:
        fleet.gossip()


def measure_used_share(fleet: RetryFleet) -> float:
    """Return the share of the retry bound used in the first window of the storm."""
    return fleet.count_retries(CALM_MS) / fleet.find_allowed(CALM_MS)
