"""Simulates how often unrelated changes conflict."""

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
MERGE_S = 20.0


class ConflictCount(NamedTuple):
    """Counts of a simulation with one kind of base version.

    ``false_conflicts`` are those whose item had not changed.
    """

    changes: int
    attempts: int
    conflicts: int
    false_conflicts: int

    @property
    def false_share(self) -> float:
        """False conflicts per attempt."""
        return self.false_conflicts / self.attempts


def simulate_changes(
    starts_s: list[float], per_item: bool, rng: random.Random
) -> ConflictCount:
    """Simulate operators who read, think, propose, and retry after a conflict.

    :param starts_s: the times at which each operator reads the item.
    :param per_item: whether the base is the version of the item or of the document.
    :param rng: chooses items and thinking times.
    """
    weights = [1 / rank**POPULARITY_EXPONENT for rank in range(1, ITEMS + 1)]
    items = rng.choices(range(ITEMS), weights, k=len(starts_s))
    item_versions = [0] * ITEMS
    document_version = attempts = conflicts = false_conflicts = 0
    reads = sorted(zip(starts_s, items, strict=True))
    heap = [(at_s, 0, item, 0, 0) for at_s, item in reads]
    heapq.heapify(heap)
    while heap:
        at_s, is_proposal, item, base_item_version, base_document_version = (
            heapq.heappop(heap)
        )
        if not is_proposal:
            think_s = THINK_MEDIAN_S * rng.lognormvariate(0, THINK_SIGMA)
            heapq.heappush(
                heap, (at_s + think_s, 1, item, item_versions[item], document_version)
            )
            continue
        attempts += 1
        is_item_conflict = base_item_version != item_versions[item]
        is_conflict = (
            is_item_conflict if per_item else base_document_version != document_version
        )
        if is_conflict:
            conflicts += 1
            false_conflicts += not is_item_conflict
            # A conflict returns the document in force, so the next attempt only
            # takes the time to merge.
            retry_s = at_s + MERGE_S
            heapq.heappush(
                heap, (retry_s, 1, item, item_versions[item], document_version)
            )
            continue
        item_versions[item] += 1
        document_version += 1
    return ConflictCount(len(starts_s), attempts, conflicts, false_conflicts)


def day_of_changes(changes: int, rng: random.Random) -> list[float]:
    """Return uniformly distributed times of changes within a day."""
    return [rng.uniform(0, DAY_S) for _ in range(changes)]


def burst_of_operators(operators: int, rng: random.Random) -> list[float]:
    """Return the times at which operators start within one minute."""
    return [rng.uniform(0, 60) for _ in range(operators)]
