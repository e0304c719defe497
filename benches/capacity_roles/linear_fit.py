"""Least-squares lines through measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class LinearFit(NamedTuple):
    """A least-squares line; ``r_squared`` is 1 for a perfect fit."""

    slope: float
    intercept: float
    r_squared: float

    def at(self, x: float) -> float:
        """Return the value of the line at a point.

        :param x: the point.
        """
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Return the least-squares line through the points.

    :param xs: at least two different values.
    :param ys: one value for each x.
    """
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    variation_x = sum((x - mean_x) ** 2 for x in xs)
    variation_y = sum((y - mean_y) ** 2 for y in ys)
    covariation = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope = covariation / variation_x
    r_squared = (
        1.0 if variation_y == 0 else covariation**2 / (variation_x * variation_y)
    )
    return LinearFit(slope, mean_y - slope * mean_x, r_squared)
