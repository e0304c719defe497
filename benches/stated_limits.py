"""Share of a stated limit that a fleet uses, by its size and the limit, and its cost.

One endpoint states a limit and callers send twice as many requests, on virtual time.
Only the decision logic of the instances runs.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row

sys.path.append(str(Path(__file__).parents[1] / 'tests' / 'test_gateway'))

from permit_simulation import START_MS, PermitFleet

if TYPE_CHECKING:
    import random

SIZES = (8, 65, 195, 530)
LIMITS_PER_S = (1, 10, 100)
DEMAND_RATIO = 2.0
SETTLE_MS = 5_000
MEASURED_MS = 40_000
MS_PER_S = 1_000


def run(repeats: int, rng: random.Random) -> list[BenchRow]:  # noqa: ARG001
    """Measure each size and limit once.

    :param repeats: not used.
    :param rng: not used.
    """
    rows = []
    for instances in SIZES:
        for limit_per_s in LIMITS_PER_S:
            label = f'{instances} instances, {limit_per_s} a second'
            fleet = PermitFleet(instances, DEMAND_RATIO * limit_per_s, limit_per_s)
            fleet.run(SETTLE_MS)
            before = fleet.queries
            fleet.run(MEASURED_MS)
            used = fleet.use_share(START_MS + SETTLE_MS)
            rows.append(make_row(f'{label}, used', used, 'share', 1.0))
            queries_per_s = (fleet.queries - before) * MS_PER_S / MEASURED_MS
            rows.append(make_row(f'{label}, questions', queries_per_s, 'a second', 0.0))
            spare = -fleet.find_excess()
            rows.append(make_row(f'{label}, least to spare', spare, 'calls', 0.0))
    return rows
