"""Tiers with unserved requests, for which lower tiers are shed."""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.decaying_sum import DecayingSum
from savorychute.gateway.dispatch.rank_limits import Ramp, is_last_tier
from savorychute.gateway.requests.rank import tier_of
from savorychute.membership.tier_shortage import TierShortage

if TYPE_CHECKING:
    from collections.abc import Iterable

# Decay times of unserved requests, and of reports of other instances.  The guarantee
# between tiers holds for any five seconds.
UNSERVED_DECAY_S = 5.0
REPORTED_DECAY_S = 3.0
# The rate of offered requests varies little, so it is averaged over a longer time.
OFFERED_DECAY_S = 8.0
# The guarantee permits a twelfth of a tier to be unserved while a lower one is served.
# All lower tiers are shed once half of that is unserved; a few unserved requests,
# whatever their share, shed none.
FULL_SHED_SHARE = 1 / 24
FIRST_SHED_SHARE = FULL_SHED_SHARE / 4
MIN_FULL_SHED_REQUESTS = 4.0
MIN_FIRST_SHED_REQUESTS = 1.0
# Smaller values are not reported to other instances.
MIN_ADVERTISED_REQUESTS = 0.05


class Shortages:
    """Counts requests by service and tier that were unserved for lack of capacity.

    Those of the last tier do not count, as there is no tier below it to shed.
    Instances observe different engines at different times: some refused notes while
    others still sent summaries.  So each reports what it observed, and all shed the
    lower tiers.  The mean of the instances that reported is extrapolated to all
    instances.
    """

    def __init__(self) -> None:
        self._offered = _make_sums(OFFERED_DECAY_S)
        self._unserved = _make_sums(UNSERVED_DECAY_S)
        self._reported = _make_sums(REPORTED_DECAY_S)
        self._reports = DecayingSum(REPORTED_DECAY_S)
        self.instances = 1

    def record_offered(self, service: str, rank: int, now_ms: int) -> None:
        """Count a request.

        :param service: the service that it is for.
        :param rank: its urgency.
        :param now_ms: the current time.
        """
        if not is_last_tier(rank):
            self._offered[service, tier_of(rank)].add(1.0, now_ms)

    def record_unserved(self, service: str, rank: int, now_ms: int) -> None:
        """Count a request that was refused or abandoned for lack of capacity.

        :param service: the service that it was for.
        :param rank: its urgency.
        :param now_ms: the current time.
        """
        if not is_last_tier(rank):
            self._unserved[service, tier_of(rank)].add(1.0, now_ms)

    def advertised(self, now_ms: int) -> tuple[TierShortage, ...]:
        """Return the shortages to report to other instances; usually none.

        :param now_ms: the current time.
        """
        values = {key: each.value(now_ms) for key, each in self._unserved.items()}
        return tuple(
            TierShortage(service, tier, unserved)
            for (service, tier), unserved in values.items()
            if unserved >= MIN_ADVERTISED_REQUESTS
        )

    def record_reported(self, shortages: Iterable[TierShortage], now_ms: int) -> None:
        """Record the shortages that another instance reported.

        :param shortages: its shortages.
        :param now_ms: the current time.
        """
        self._reports.add(1.0, now_ms)
        for service, tier, unserved in shortages:
            self._reported[service, tier].add(unserved, now_ms)

    def shed_share(self, service: str, rank: int, now_ms: int) -> float:
        """Return the share of a rank's requests to shed in favour of higher tiers.

        :param service: the service that they are for.
        :param rank: their urgency.
        :param now_ms: the current time.
        """
        above = range(tier_of(rank))
        return max(
            (self._shed_share_for(service, tier, now_ms) for tier in above), default=0.0
        )

    def _shed_share_for(self, service: str, tier: int, now_ms: int) -> float:
        key = (service, tier)
        unserved = self._unserved[key].value(now_ms) + self._reported[key].value(now_ms)
        # Number of instances that each reporting instance represents.  In a large fleet
        # one unserved request represents many, and must not cause any shedding by
        # itself.
        weight = self.instances / (1.0 + self._reports.value(now_ms))
        offered = self.instances * self._offered[key].value(now_ms)
        offered *= UNSERVED_DECAY_S / OFFERED_DECAY_S
        ramp = Ramp(
            max(MIN_FIRST_SHED_REQUESTS * max(1.0, weight), FIRST_SHED_SHARE * offered),
            max(MIN_FULL_SHED_REQUESTS * max(1.0, weight), FULL_SHED_SHARE * offered),
        )
        return ramp.refused_share(weight * unserved)


def _make_sums(decay_s: float) -> defaultdict[tuple[str, int], DecayingSum]:
    return defaultdict(partial(DecayingSum, decay_s))
