"""Whether the engines of a service differ by more than chance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.engines.speed_fit import Estimate

# Engines differ only if the speed of one, as a logarithm to base 2, deviates by this
# much (20 %), and are even once none has deviated by the smaller one (15 %) for a time.
DIFFERENT = 0.263
EVEN = 0.2
EVEN_AFTER_MS = 5_000
# A deviation times the root of its weight is its significance.  In simulations of 6 to
# 30 even engines it was at most 3.5 for one engine, and the mean of its squares at most
# 2.0 for 6 engines, 0.81 for 12 and 0.32 for 30.
SIGNIFICANT = 4.0
SIGNIFICANT_SQUARES = 0.4
SIGNIFICANT_SQUARES_OF_ONE = 10.0
# Differences that were found remain until they have this share of the significance.
REMAINING_SHARE = 0.5
MIN_WEIGHT = 1.0


def find_last_deviation(
    estimates: Sequence[Estimate], deviated_ms: int | None, now_ms: int
) -> int | None:
    """Return when the engines last differed, or None if they are taken for even.

    :param estimates: the speeds of the engines.
    :param deviated_ms: the last result.
    :param now_ms: the current time.
    """
    if deviated_ms is None:
        return now_ms if _differ(estimates, DIFFERENT, 1.0) else None
    if _differ(estimates, EVEN, REMAINING_SHARE):
        return now_ms
    return deviated_ms if now_ms - deviated_ms < EVEN_AFTER_MS else None


def _differ(estimates: Sequence[Estimate], min_deviation: float, share: float) -> bool:
    known = [each for each in estimates if each.weight >= MIN_WEIGHT]
    if not any(abs(each.speed) > min_deviation for each in known):
        return False
    squares = [each.speed**2 * each.weight for each in known]
    if max(squares) > (share * SIGNIFICANT) ** 2:
        return True
    bound = SIGNIFICANT_SQUARES + SIGNIFICANT_SQUARES_OF_ONE / len(squares)
    return sum(squares) / len(squares) > share * bound
