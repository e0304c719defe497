"""Ranks of requests by urgency."""

from __future__ import annotations

# The number of distinct organisation tiers within one tier of the route.
ORGANISATION_LEVELS = 3
# The last distinct tier of the route; later tiers count as this one.
LAST_ROUTE_LEVEL = 2
# Engines accept ranks from 0, the most urgent, to 9.
LEAST_URGENT_RANK = 9


def rank_request(organisation_tier: int | None, route_tier: int) -> int:
    """Return a request's rank, 0 for the most urgent.

    The route's tier comes first; the organisation's tier decides between equal routes.
    An engine that needs capacity preempts the newest of its least urgent streams.  With
    the organisation's tier first, diagnoses of one organisation were preempted while
    summaries of another one kept running (13 and 22 in two runs of an overloaded day,
    none with this order).

    :param organisation_tier: the tier of the key's owner; None counts as the last.
    :param route_tier: the tier of the route.
    """
    last = ORGANISATION_LEVELS - 1
    second = last if organisation_tier is None else min(max(organisation_tier, 0), last)
    return min(max(route_tier, 0) * ORGANISATION_LEVELS + second, LEAST_URGENT_RANK)


def tier_of(rank: int) -> int:
    """Return the route's tier that a rank stands for, 0 for the most urgent.

    :param rank: a rank from :func:`rank_request`.
    """
    return min(rank // ORGANISATION_LEVELS, LAST_ROUTE_LEVEL)
