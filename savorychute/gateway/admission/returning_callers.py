"""Recognises callers that come back after a refusal, and prefers them."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from savorychute.gateway.dispatch.decaying_sum import DecayingSum
from savorychute.gateway.requests.rank import tier_of

# Callers state how long they will wait.  One that has this much less time left than
# others of its route has waited before.  Callers that come back at once are not
# preferred to those that waited for as long as they were asked to.
MIN_WAITED_MS = 300
MIN_WAITED_SHARE = 0.04
# The longest stated time counts for one to two of these periods.
PERIOD_MS = 30_000
# Requests whose returns and refusals count.
RECENT_DECAY_S = 4.0
# Requests that are added to the recent ones, so that a single return has little weight.
PRIOR_REQUESTS = 3.0


class _LongestTimes(NamedTuple):
    period: int
    previous_ms: int
    current_ms: int


class _TierCounts:
    """Recent requests of a service and tier."""

    __slots__ = ('offered', 'refused', 'returned')

    def __init__(self) -> None:
        self.offered = DecayingSum(RECENT_DECAY_S)
        self.returned = DecayingSum(RECENT_DECAY_S)
        self.refused = DecayingSum(RECENT_DECAY_S)

    def share(self, counted: DecayingSum, now_ms: int) -> float:
        offered = self.offered.value(now_ms) + PRIOR_REQUESTS
        return min(1.0, counted.value(now_ms) / offered)


class ReturningCallers:
    """Recognises returns by the time that callers have left, and counts them.

    A caller returns to another instance with another attempt id.  To recognise it there
    by its request, instances would have to tell each other of each refusal; the time
    that it states needs no message, and is true for any instance.
    """

    def __init__(self) -> None:
        self._longest: dict[str, _LongestTimes] = {}
        self._counts: defaultdict[tuple[str, int], _TierCounts] = defaultdict(
            _TierCounts
        )

    def record_arrival(
        self, route: str, service: str, rank: int, left_ms: int, now_ms: int
    ) -> bool:
        """Count a request; return whether its caller has waited before.

        :param route: the route of the request.
        :param service: the service that it is for.
        :param rank: its urgency.
        :param left_ms: the time that its caller has left.
        :param now_ms: the current time.
        """
        longest_ms = self._update_longest(route, left_ms, now_ms)
        waited_ms = longest_ms - left_ms
        returned = waited_ms >= max(MIN_WAITED_MS, MIN_WAITED_SHARE * longest_ms)
        counts = self._counts[service, tier_of(rank)]
        counts.offered.add(1.0, now_ms)
        if returned:
            counts.returned.add(1.0, now_ms)
        return returned

    def record_refusal(self, service: str, rank: int, now_ms: int) -> None:
        """Count a request that was refused.

        :param service: the service that it was for.
        :param rank: its urgency.
        :param now_ms: the current time.
        """
        self._counts[service, tier_of(rank)].refused.add(1.0, now_ms)

    def recent_refused_share(self, service: str, rank: int, now_ms: int) -> float:
        """Return the share of a tier's requests that was refused recently.

        :param service: the service that they were for.
        :param rank: rank of a request of the tier.
        :param now_ms: the current time.
        """
        counts = self._counts[service, tier_of(rank)]
        return counts.share(counts.refused, now_ms)

    def refused_share(
        self, service: str, rank: int, returned: bool, share: float, now_ms: int
    ) -> float:
        """Return the share to refuse of returning requests, or of the others.

        Of both together the given share is refused, of the returning ones only what
        remains if all others are refused.

        :param service: the service that the requests are for.
        :param rank: their urgency.
        :param returned: whether their callers have waited before.
        :param share: the share of all requests to refuse.
        :param now_ms: the current time.
        """
        counts = self._counts[service, tier_of(rank)]
        returning = counts.share(counts.returned, now_ms)
        if returned:
            return max(0.0, share - (1.0 - returning)) / max(returning, 1e-9)
        return min(1.0, share / max(1.0 - returning, 1e-9))

    def _update_longest(self, route: str, left_ms: int, now_ms: int) -> int:
        period = now_ms // PERIOD_MS
        longest = self._longest.get(route, _LongestTimes(period, 0, 0))
        if longest.period != period:
            is_next = longest.period == period - 1
            previous_ms = longest.current_ms if is_next else 0
            longest = _LongestTimes(period, previous_ms, 0)
        longest = longest._replace(current_ms=max(left_ms, longest.current_ms))
        self._longest[route] = longest
        return max(longest.previous_ms, longest.current_ms)
