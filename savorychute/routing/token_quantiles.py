"""Quantiles of token counts in a few bytes."""

from __future__ import annotations

import math
from array import array

BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 36
MAX_WEIGHT = 256


class TokenQuantiles:
    """A decaying histogram with two buckets per doubling, up to 262,144.

    A bucket's edges differ by a factor of 1.41, so a quantile is off by at
    most 19 % either way.  When the counts add up to :data:`MAX_WEIGHT` all are
    halved, so that old lengths fade.
    """

    __slots__ = ('_counts', '_total')

    def __init__(self) -> None:
        self._counts = array('B', bytes(BUCKET_COUNT))
        self._total = 0

    @property
    def total(self) -> int:
        """The weight of all observations still remembered."""
        return self._total

    def observe(self, tokens: int) -> None:
        """Count an answer of *tokens* tokens."""
        if self._total >= MAX_WEIGHT - 1:
            self._halve()
        position = int(BUCKETS_PER_DOUBLING * math.log2(max(1, tokens)))
        self._counts[min(position, BUCKET_COUNT - 1)] += 1
        self._total += 1

    def _halve(self) -> None:
        for position, count in enumerate(self._counts):
            self._counts[position] = count // 2
        self._total = sum(self._counts)

    def quantile(self, share: float) -> float:
        """Return the middle of the bucket that holds the quantile, in tokens.

        :param share: between 0 and 1.
        """
        target = share * self._total
        seen = 0
        for position, count in enumerate(self._counts):
            seen += count
            if count and seen >= target:
                return float(2 ** ((position + 0.5) / BUCKETS_PER_DOUBLING))
        return 1.0
