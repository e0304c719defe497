"""Quantiles of token counts in a few bytes."""

from __future__ import annotations

import math
from array import array

BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 36
MAX_WEIGHT = 256


class TokenQuantiles:
    """A decaying histogram with two buckets per doubling, up to 262,144.

    The edges of a bucket differ by a factor of 1.41, so a quantile is off by at
    most 19 % either way.  When the counts add up to :data:`MAX_WEIGHT`, all are
    halved, so that old observations lose weight.
    """

    __slots__ = ('_counts', '_total_weight')

    def __init__(self) -> None:
        self._counts = array('B', bytes(BUCKET_COUNT))
        self._total_weight = 0

    @property
    def total_weight(self) -> int:
        """The total weight of the observations."""
        return self._total_weight

    def observe(self, tokens: int) -> None:
        """Count an answer of *tokens* tokens."""
        if self._total_weight >= MAX_WEIGHT - 1:
            self._halve()
        bucket = int(BUCKETS_PER_DOUBLING * math.log2(max(1, tokens)))
        self._counts[min(bucket, BUCKET_COUNT - 1)] += 1
        self._total_weight += 1

    def _halve(self) -> None:
        for bucket, count in enumerate(self._counts):
            self._counts[bucket] = count // 2
        self._total_weight = sum(self._counts)

    def quantile(self, share: float) -> float:
        """Return the middle of the bucket that contains the quantile, in tokens.

        :param share: between 0 and 1.
        """
        target = share * self._total_weight
        cumulative_count = 0
        for bucket, count in enumerate(self._counts):
            cumulative_count += count
            if count and cumulative_count >= target:
                return float(2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING))
        return 1.0
