"""Arithmetic on levels by endpoint and on demand by tier."""

from __future__ import annotations

import math
from itertools import zip_longest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Share of the levels that must change for a message between regular reports.
MIN_SHIFT_SHARE = 0.25

#: Capacity is divided at once if demand has grown by this factor.
GROWTH_FACTOR = 1.5


def has_grown(before: tuple[int, ...], after: tuple[int, ...]) -> bool:
    """Return whether demand has grown so much that capacity is divided at once.

    :param before: number of requests that waited, by tier.
    :param after: number of requests that wait now, by tier.
    """
    higher = any(
        new > 0 and old == 0 for old, new in zip_longest(before, after, fillvalue=0)
    )
    return higher or sum(after) > GROWTH_FACTOR * sum(before) + 1


def sum_excess(levels: Mapping[int, int], others: Mapping[int, int]) -> int:
    """Return by how much *levels* exceed *others*, summed over endpoints.

    :param levels: levels by endpoint.
    :param others: levels by endpoint.
    """
    return sum(max(0, level - others.get(key, 0)) for key, level in levels.items())


def min_shift(levels: Mapping[int, int]) -> int:
    """Return the smallest shift that justifies a separate message.

    :param levels: levels by endpoint.
    """
    return max(1, math.ceil(MIN_SHIFT_SHARE * sum(levels.values())))


def add_tiers(first: tuple[int, ...], second: tuple[int, ...]) -> list[int]:
    """Return the sums by tier.

    :param first: counts by tier.
    :param second: counts by tier.
    """
    return [a + b for a, b in zip_longest(first, second, fillvalue=0)]
