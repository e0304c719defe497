"""Which organisations give way when capacity is short."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

# From this share of refused requests on, those within their fair share are refused as
# well: the demands are known only approximately, and an engine that nearly all requests
# have to leave must be relieved whoever sends them.
RELIEF_SHARE = 0.8


class Demand(NamedTuple):
    """The demand of one organisation, and its fair share as a weight."""

    key: int
    rate: float
    weight: float


def refused_shares(demands: Sequence[Demand], share: float) -> dict[int, float]:
    """Return the share of each organisation's requests to refuse.

    Together they amount to the given share of all requests (weighted max-min fairness):
    each organisation is served up to the same multiple of its weight.  What one does not
    use is thereby left to the others.  Where no demand is known, all are refused alike.

    :param demands: the demands.
    :param share: the share of all requests to refuse, between 0 and 1.
    """
    if not any(each.rate > 0.0 and each.weight > 0.0 for each in demands):
        return {each.key: share for each in demands}
    level = _find_level(demands, share)
    relief = max(0.0, share - RELIEF_SHARE) / (1.0 - RELIEF_SHARE)
    return {
        each.key: max(relief, 1.0 - level * each.weight / each.rate)
        if each.rate > 0.0
        else share
        for each in demands
    }


def _find_level(demands: Sequence[Demand], share: float) -> float:
    """Return the multiple of its weight up to which each organisation is served."""
    served = (1.0 - share) * sum(each.rate for each in demands)
    weight = sum(each.weight for each in demands)
    for each in sorted(demands, key=_by_ratio):
        if weight <= 0.0 or each.rate * weight >= served * each.weight:
            break
        served -= each.rate
        weight -= each.weight
    return served / weight if weight > 0.0 else 1.0


def _by_ratio(demand: Demand) -> float:
    return demand.rate / demand.weight if demand.weight > 0.0 else float('inf')
