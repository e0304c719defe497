"""The order of requests by urgency."""

from __future__ import annotations

# Levels of a route's tier that are told apart inside one level of the organisation's.
LEVELS = 3
# The engines know ranks from 0, the most urgent, to 9.
LEAST_URGENT = 9


def rank_request(organisation_tier: int | None, route_tier: int) -> int:
    """Return a request's rank, 0 for the most urgent.

    The organisation's tier goes first, the route's decides among equals: with the first
    alone, summaries and diagnoses of one organisation would be the same to an engine that
    is out of memory, and it would put back whichever is newest.

    :param organisation_tier: of the key's owner; None leaves the route's to decide.
    :param route_tier: of the route.
    """
    first = route_tier if organisation_tier is None else organisation_tier
    second = min(max(route_tier, 0), LEVELS - 1)
    return min(max(first, 0) * LEVELS + second, LEAST_URGENT)
