"""How often unrelated changes get in each other's way."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

DAY_S = 86_400
ITEMS = 3_500
POPULARITY_EXPONENT = 0.8
THINK_MEDIAN_S = 60.0
THINK_SIGMA = 0.7
REWORK_S = 20.0


class ConflictCount(NamedTuple):
    """What a way of basing changes led to.

    ``false_conflicts`` are those of which the item had not changed.
    """

    changes: int
    attempts: int
    conflicts: int
    false_conflicts: int

    @property
    def false_share(self) -> float:
        """False conflicts by attempt."""
        return self.false_conflicts / self.attempts


def simulate_changes(
    starts_s: list[float], per_item: bool, rng: random.Random
) -> ConflictCount:
    """Let operators read, think, propose, and propose again after a conflict.

    :param starts_s: when each operator reads the item.
    :param per_item: whether the base is the item's version or the document's.
    :param rng: chooses items and the time for thought.
    """
    weights = [1 / rank**POPULARITY_EXPONENT for rank in range(1, ITEMS + 1)]
    items = rng.choices(range(ITEMS), weights, k=len(starts_s))
    versions = [0] * ITEMS
    whole = attempts = conflicts = false_conflicts = 0
    reads = sorted(zip(starts_s, items, strict=True))
    heap = [(at_s, 0, item, 0, 0) for at_s, item in reads]
    heapq.heapify(heap)
    while heap:
        at_s, is_proposal, item, item_base, whole_base = heapq.heappop(heap)
        if not is_proposal:
            think_s = THINK_MEDIAN_S * rng.lognormvariate(0, THINK_SIGMA)
            heapq.heappush(heap, (at_s + think_s, 1, item, versions[item], whole))
            continue
        attempts += 1
        is_true = item_base != versions[item]
        is_conflict = is_true if per_item else whole_base != whole
        if is_conflict:
            conflicts += 1
            false_conflicts += not is_true
            # The conflict shows what is in force, so the next attempt only
            # needs the time to merge.
            again_s = at_s + REWORK_S
            heapq.heappush(heap, (again_s, 1, item, versions[item], whole))
            continue
        versions[item] += 1
        whole += 1
    return ConflictCount(len(starts_s), attempts, conflicts, false_conflicts)


def day_of_changes(changes: int, rng: random.Random) -> list[float]:
    """Return the times of a day's changes, spread evenly."""
    return [rng.uniform(0, DAY_S) for _ in range(changes)]


def burst_of_operators(operators: int, rng: random.Random) -> list[float]:
    """Return the times at which operators begin within one minute."""
    return [rng.uniform(0, 60) for _ in range(operators)]
