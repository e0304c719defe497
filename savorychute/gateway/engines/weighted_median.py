"""The weighted median."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def weighted_median(values: Iterable[tuple[float, float]]) -> float:
    """Return the weighted median of values, between two values if both halve the weight.

    :param values: pairs of a value and its weight; at least one.
    """
    ordered = sorted(values)
    remaining = sum([weight for _, weight in ordered]) / 2.0
    for index, (value, weight) in enumerate(ordered):
        remaining -= weight
        if remaining < 0.0:
            return value
        if remaining == 0.0 and index + 1 < len(ordered):
            return (value + ordered[index + 1][0]) / 2.0
    return ordered[-1][0]
