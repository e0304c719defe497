"""Load limits beyond which requests of a rank are refused."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.requests.rank import (
    LAST_ROUTE_LEVEL,
    ORGANISATION_LEVELS,
    tier_of,
)


class Ramp(NamedTuple):
    """The value from which some requests are refused, and that from which all are."""

    start: float
    end: float

    def refused_share(self, value: float) -> float:
        """Return the share of requests to refuse, from 0 to 1.

        :param value: value of the limited quantity.
        """
        return min(1.0, max(0.0, (value - self.start) / (self.end - self.start)))


class RankLimits(NamedTuple):
    """Load to which requests of a rank may be added.

    ``places_share`` limits the share of an engine's slots in use, ``waiting`` the
    number of requests that wait there for prefill, and ``wait_share`` the expected wait
    as a multiple of the objective.
    """

    places_share: Ramp
    waiting: Ramp
    wait_share: Ramp


# Engines with fewer slots are evaluated as if they had this many.  Answers are slowed
# by the number of streams beside prefills, not by the share of slots in use; with their
# own number of slots, small engines were considered full and refused requests at normal
# load.
MIN_SLOTS = 24
# Three ranks per tier of the route, ordered by the tier of the organisation.  An engine
# that always prefills beside its streams delays each token by a chunk, about 90 ms, and
# answers of 120 tokens miss their deadlines.  With half of its slots in use it
# completes about as many requests per second, nearly all of them in time.  The same
# holds for a long queue of prompts.  The ramps of a tier end where those of the tier
# above start, so that all requests of a tier are refused before any of the tier above.
LIMITS = (
    RankLimits(Ramp(1.5, 1.9), Ramp(24, 64), Ramp(2.0, 4.0)),
    RankLimits(Ramp(1.35, 1.7), Ramp(18, 40), Ramp(1.6, 2.5)),
    RankLimits(Ramp(1.3, 1.55), Ramp(16, 30), Ramp(1.5, 2.0)),
    RankLimits(Ramp(1.1, 1.3), Ramp(10, 16), Ramp(1.3, 1.5)),
    RankLimits(Ramp(1.1, 1.3), Ramp(9, 15), Ramp(1.3, 1.45)),
    RankLimits(Ramp(1.1, 1.3), Ramp(9, 14), Ramp(1.3, 1.4)),
    RankLimits(Ramp(0.5, 0.9), Ramp(2, 9), Ramp(0.6, 1.3)),
    RankLimits(Ramp(0.5, 0.85), Ramp(2, 8), Ramp(0.5, 1.2)),
    RankLimits(Ramp(0.5, 0.8), Ramp(1, 7), Ramp(0.4, 1.1)),
)
# The ranks of the least urgent tier.
LAST_TIER_RANKS = range(LAST_ROUTE_LEVEL * ORGANISATION_LEVELS, len(LIMITS))


def is_last_tier(rank: int) -> bool:
    """Return whether no tier is below a rank's."""
    return tier_of(rank) == LAST_ROUTE_LEVEL
