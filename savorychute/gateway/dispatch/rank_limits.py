"""From which loads on requests of a rank are refused."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.requests.rank import (
    LAST_ROUTE_LEVEL,
    ORGANISATION_LEVELS,
    tier_of,
)


class Ramp(NamedTuple):
    """From where on some requests are refused, and from where on all are."""

    first: float
    last: float

    def refused_share(self, value: float) -> float:
        """Return the part of requests to refuse, from 0 to 1.

        :param value: what the ramp bounds.
        """
        return min(1.0, max(0.0, (value - self.first) / (self.last - self.first)))


class RankLimits(NamedTuple):
    """What requests of a rank may add to.

    ``places_share`` is the part of an engine's places that are taken, ``waiting`` how many
    requests wait there for their prompts to be read, ``wait_share`` the expected wait as
    a part of the objective.
    """

    places_share: Ramp
    waiting: Ramp
    wait_share: Ramp


# Ranks go by the route's tier, three of them for each, and by the organisation's inside it.
# An engine that always reads a prompt beside its streams lets each token wait for a
# chunk, about 90 ms, and answers of 120 tokens pass their deadlines; with half of the
# places taken it finishes about as many requests a second, and nearly all in time.  The
# same holds for a long queue of prompts.  A tier's ramps end where those of the tier above
# begin, so that all of the lower one is turned away before any of the higher one.
LIMITS = (
    RankLimits(Ramp(1.3, 1.7), Ramp(24, 64), Ramp(2.0, 4.0)),
    RankLimits(Ramp(1.15, 1.5), Ramp(18, 40), Ramp(1.6, 2.5)),
    RankLimits(Ramp(1.1, 1.35), Ramp(16, 30), Ramp(1.5, 2.0)),
    RankLimits(Ramp(0.9, 1.0), Ramp(10, 16), Ramp(1.3, 1.5)),
    RankLimits(Ramp(0.9, 1.0), Ramp(9, 15), Ramp(1.3, 1.45)),
    RankLimits(Ramp(0.9, 1.0), Ramp(9, 14), Ramp(1.3, 1.4)),
    RankLimits(Ramp(0.5, 0.9), Ramp(2, 9), Ramp(0.6, 1.3)),
    RankLimits(Ramp(0.5, 0.85), Ramp(2, 8), Ramp(0.5, 1.2)),
    RankLimits(Ramp(0.5, 0.8), Ramp(1, 7), Ramp(0.4, 1.1)),
)
# The ranks of the least urgent tier.
LAST_TIER = range(LAST_ROUTE_LEVEL * ORGANISATION_LEVELS, len(LIMITS))


def is_last_tier(rank: int) -> bool:
    """Return whether no tier is below a rank's."""
    return tier_of(rank) == LAST_ROUTE_LEVEL
