"""Decaying sums of comparable observations of one engine."""

from __future__ import annotations

from typing import NamedTuple

# After this time half of the evidence remains.  Engines slow down for about 0.6 s at a
# time; the short memory forgets that within seconds, the long one is hardly moved.
RECENT_HALF_LIFE_MS = 3_000
LASTING_HALF_LIFE_MS = 20_000
# Maximum weight of one reporting instance in one cell of an engine.
MAX_CELL_WEIGHT = 32.0
# Rates are units per millisecond; messages hold them by their logarithm to base 2.
MIN_RATE_LOG, MAX_RATE_LOG = -12.0, 3.9
# A recent rate may be two octaves off a lasting one that is at its limit.
MIN_RATE, MAX_RATE = 2.0 ** (MIN_RATE_LOG - 2), 2.0 ** (MAX_RATE_LOG + 2)


class CellSums(NamedTuple):
    """Weights and mean rates of the observations in one cell, as of a time.

    Rates are averaged and not times: other work of an engine delays single requests by
    much, and nothing makes one faster than the engine.  The ``lasting`` values change
    slowly; the ``recent`` ones forget within seconds.
    """

    lasting_weight: float
    lasting_rate: float
    recent_weight: float
    recent_rate: float

    @property
    def is_valid(self) -> bool:
        """Whether all values are numbers within their bounds."""
        return (
            0.0 < self.lasting_weight < float('inf')
            and 0.0 <= self.recent_weight < float('inf')
            and MIN_RATE <= self.lasting_rate <= MAX_RATE
            and MIN_RATE <= self.recent_rate <= MAX_RATE
        )

    def capped(self) -> CellSums:
        """Return the sums with the maximum weight of a reporting instance."""
        if max(self.lasting_weight, self.recent_weight) <= MAX_CELL_WEIGHT:
            return self
        return self._replace(
            lasting_weight=min(self.lasting_weight, MAX_CELL_WEIGHT),
            recent_weight=min(self.recent_weight, MAX_CELL_WEIGHT),
        )

    def plus(self, other: CellSums) -> CellSums:
        """Return the sums of two sets of observations.

        :param other: sums as of the same time.
        """
        lasting_weight = self.lasting_weight + other.lasting_weight
        recent_weight = self.recent_weight + other.recent_weight
        return CellSums(
            lasting_weight,
            _mean(self[0], self[1], other[0], other[1], lasting_weight),
            recent_weight,
            _mean(self[2], self[3], other[2], other[3], recent_weight),
        )


def _mean(
    weight: float, mean: float, other_weight: float, other_mean: float, total: float
) -> float:
    if total <= 0.0:
        return mean
    return (weight * mean + other_weight * other_mean) / total


def remaining_shares(elapsed_ms: int) -> tuple[float, float]:
    """Return which shares of lasting and recent weights remain after some time.

    :param elapsed_ms: the time.
    """
    elapsed_ms = max(0, elapsed_ms)
    lasting = 0.5 ** (elapsed_ms / LASTING_HALF_LIFE_MS)
    return float(lasting), float(0.5 ** (elapsed_ms / RECENT_HALF_LIFE_MS))


def observed(rate: float, weight: float = 1.0) -> CellSums:
    """Return the sums of one observation.

    :param rate: units per millisecond.
    :param weight: number of observations that it stands for.
    """
    return CellSums(weight, rate, weight, rate)
