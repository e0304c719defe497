"""Histogram counts by bucket."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class BucketCounts:
    """A histogram that records an observation with one bisection.

    :param bounds: the buckets' upper bounds in ascending order; one more bucket
        counts values above all of them.
    """

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float, count: int) -> None:
        """Add *count* observations of one value."""
        self.counts[bisect_left(self._bounds, value)] += count
        self.total += value * count
