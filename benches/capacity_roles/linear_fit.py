"""Straight lines through measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class LinearFit(NamedTuple):
    """The least-squares line; ``r_squared`` is 1 for a perfect one."""

    slope: float
    intercept: float
    r_squared: float

    def at(self, x: float) -> float:
        """Return the line's value.

        :param x: where.
        """
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Return the least-squares line through the points.

    :param xs: at least two different values.
    :param ys: one for each x.
    """
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    spread_x = sum((x - mean_x) ** 2 for x in xs)
    spread_y = sum((y - mean_y) ** 2 for y in ys)
    shared = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope = shared / spread_x
    r_squared = 1.0 if spread_y == 0 else shared**2 / (spread_x * spread_y)
    return LinearFit(slope, mean_y - slope * mean_x, r_squared)
