"""How much of the bound on repeats a fleet uses, by its size and what happened before.

All endpoints turn every attempt away, and every instance repeats all that it may, on virtual
time: in the first window of a storm after a calm, when most instances were killed just before it, and when they
are killed in it.
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
# Of the storm, before instances are killed in it.
FIRST_MS = 3_000
KILLED_SHARE = 0.8
MS_PER_S = 1_000


class Size(NamedTuple):
    """A number of instances, the slack that they share, and their requests."""

    instances: int
    slack: float
    requests_per_s: float


SIZES = (
    Size(8, 56, 32),
    Size(65, 170, 104),
    Size(195, 430, 193),
    Size(530, 1_170, 15_000),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:  # noqa: ARG001
    """Play each size once; the rig has no chance in it.

    :param repeats: not used.
    :param rng: not used.
    """
    rows = []
    for size in SIZES:
        label = f'{size.instances} instances'
        undisturbed = play(size, (), ())
        used = find_used(undisturbed)
        rows.append(make_row(f'{label}, bound used', used, 'share', 1.0))
        before = find_used(play(size, pick_killed(size), ()))
        rows.append(make_row(f'{label}, most killed before', before, 'share', used))
        within = find_used(play(size, (), pick_killed(size)))
        rows.append(make_row(f'{label}, most killed in it', within, 'share', used))
        writes = len(undisturbed.topic.records) / size.instances
        rows.append(make_row(f'{label}, writes', writes, 'a run', 0.0))
    return rows


def pick_killed(size: Size) -> tuple[str, ...]:
    """Return the names of most instances."""
    return tuple(f'k{number}' for number in range(int(KILLED_SHARE * size.instances)))


def play(size: Size, before: tuple[str, ...], within: tuple[str, ...]) -> RetryFleet:
    """Play a calm and a storm.

    :param size: of the fleet.
    :param before: instances that are killed at the end of the calm.
    :param within: instances that are killed in the storm.
    """
    requests = size.requests_per_s / size.instances * TICK_MS / MS_PER_S
    bounds = RetryBounds(RATIO, WINDOW_MS, size.slack)
    fleet = RetryFleet(size.instances, requests, bounds)
    pass_time(fleet, CALM_MS)
    restart(fleet, before)
    fleet.storm = True
    pass_time(fleet, FIRST_MS)
    restart(fleet, within)
    pass_time(fleet, STORM_MS - FIRST_MS)
    return fleet


def pass_time(fleet: RetryFleet, duration_ms: int) -> None:
    """Let the instances work."""
    for _ in range(duration_ms // TICK_MS):
        fleet.tick()


def restart(fleet: RetryFleet, names: tuple[str, ...]) -> None:
    """Kill instances and start them at once."""
    for name in names:
        fleet.kill(name)
        fleet.start(name)
    if names:
        fleet.gossip()


def find_used(fleet: RetryFleet) -> float:
    """Return the share of the bound that the first window of the storm has."""
    return fleet.count_retries(CALM_MS) / fleet.find_allowed(CALM_MS)
