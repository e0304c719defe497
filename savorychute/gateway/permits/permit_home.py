"""Hands out the calls that endpoints take."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# An endpoint that takes nothing is called now and then all the same: only an answer can
# say that it takes calls again.
LEAST_PER_S = 0.2
# Calls that are kept for the next more urgent tier, as a time at the limit, and at least.
KEPT_FOR_TIER_S = 0.1
LEAST_KEPT = 1.0
# Steps of that size that are saved up: one for each tier that goes behind another, and one
# beyond, so that a call of the last tier need not meet a full bucket.
STEPS = 3


class PermitHome:
    """Counts the calls to endpoints whose home this instance is.

    The less urgent a call, the more has to be saved up for it.  So while there are more
    calls than the endpoint takes, the more urgent ones get what it takes.  A bucket begins
    empty: the home before may have spent what it held.
    """

    def __init__(self) -> None:
        self._buckets: dict[EndpointRun, TokenBucket] = {}

    def take(self, run: EndpointRun, limit_per_s: float, tier: int, now_ms: int) -> int:
        """Take a call, if there is one; return how long it takes until there is, in ms.

        :param run: of the endpoint.
        :param limit_per_s: what it takes of all instances.
        :param tier: how urgent the call is, 0 first.
        :param now_ms: the time.
        """
        bucket = self._buckets.get(run)
        if bucket is None:
            bucket = self._buckets[run] = TokenBucket(0.0, now_ms)
        rate_per_s = max(limit_per_s, LEAST_PER_S)
        kept = max(LEAST_KEPT, KEPT_FOR_TIER_S * rate_per_s)
        bucket.set_rate(rate_per_s, 1.0 + STEPS * kept, now_ms)
        wait_ms = bucket.wait_ms(1.0 + tier * kept, now_ms)
        if wait_ms <= 0:
            bucket.spend(1.0, now_ms)
            return 0
        return math.ceil(wait_ms)

    def keep(self, is_home: Callable[[EndpointRun], bool]) -> None:
        """Forget endpoints that have another home now.

        :param is_home: whether this instance is the home of a run.
        """
        for run in [each for each in self._buckets if not is_home(each)]:
            del self._buckets[run]
