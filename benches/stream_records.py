"""What the records of streams cost, and how often they are missing, by their design.

Instances of one service are killed while callers take their streams up, on virtual time.
Records are told to other instances, written to the store, or both.  Only the decision
logic of the instances runs; messages are encoded.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from savorychute.testing.virtual_loop import run_virtual

sys.path.append(str(Path(__file__).parents[1] / 'tests' / 'test_gateway'))

from stream_simulation import StreamFleet

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

SETTLE_S = 4.0
ENDPOINTS = 6
KILL_INTERVAL_S = 3.0
# Of the instances; the rest of the streams is taken up at others.
KILLED_SHARES = {'one': 0.0, 'most': 0.6, 'all': 1.0}


class Size(NamedTuple):
    """The number of instances, the streams that begin, and how long they are measured."""

    name: str
    instances: int
    streams_per_s: float
    seconds: float


class Design(NamedTuple):
    """Where records are kept."""

    name: str
    is_told: bool
    is_store_used: bool


SIZES = (
    Size('8', 8, 26.0, 18.0),
    Size('65', 65, 250.0, 9.0),
    Size('66 of 530', 66, 1_850.0, 6.0),
    Size('530', 530, 1_000.0, 6.0),
)
DESIGNS = (
    Design('instances', is_told=True, is_store_used=False),
    Design('store', is_told=False, is_store_used=True),
    Design('both', is_told=True, is_store_used=True),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:  # noqa: ARG001
    """Measure each size and design once, and each loss of instances.

    :param repeats: not used.
    :param rng: not used.
    """
    rows = []
    for size in SIZES:
        for design in DESIGNS:
            rows += _measure_cost(size, design)
            for loss, share in KILLED_SHARES.items():
                fleet = _play(size, design, ('v1', 'v2'), share)
                label = f'{size.name}, {design.name}, {loss} killed, known'
                rows.append(make_row(label, fleet.known_share(), 'share', 1.0))
                assert fleet.wrong == []
    return rows


def _measure_cost(size: Size, design: Design) -> list[BenchRow]:
    rows = []
    for name, versions in (('one version', ('v1',)), ('two versions', ('v1', 'v2'))):
        fleet = _play(size, design, versions, None)
        label = f'{size.name}, {design.name}, {name}'
        sent_bytes = fleet.message_bytes / size.seconds / size.instances
        rows.append(make_row(f'{label}, sent by one', sent_bytes, 'B/s', 0.0))
        calls = fleet.store.calls.total() / size.seconds
        rows.append(make_row(f'{label}, calls of all', calls, 'a second', 0.0))
        store_bytes = fleet.store.bytes / size.seconds
        rows.append(make_row(f'{label}, store', store_bytes, 'B/s', 0.0))
    return rows


def _play(
    size: Size, design: Design, versions: Sequence[str], killed_share: float | None
) -> StreamFleet:
    async def main() -> StreamFleet:
        fleet = StreamFleet(
            size.instances,
            seed=1,
            is_store_used=design.is_store_used,
            is_told=design.is_told,
            count_bytes=killed_share is None,
        )
        for number in range(ENDPOINTS):
            fleet.add_endpoint(f'e{number}', versions[number % len(versions)])
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        fleet.store.calls.clear()
        fleet.store.bytes = fleet.message_bytes = 0
        killing = asyncio.create_task(_kill(fleet, killed_share))
        await fleet.begin_streams(size.streams_per_s, size.seconds)
        killing.cancel()
        fleet.stop()
        return fleet

    return run_virtual(main(), sockets=False)


async def _kill(fleet: StreamFleet, share: float | None) -> None:
    while share is not None:
        await asyncio.sleep(KILL_INTERVAL_S)
        alive = fleet.alive()
        fleet.kill(fleet.rng.sample(alive, max(1, round(share * len(alive)))))
