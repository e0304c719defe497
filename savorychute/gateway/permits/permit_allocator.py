"""Allocation of the calls that endpoints accept."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Rate at which an endpoint with a limit of zero is still called, as only a response can
# state that it accepts calls again.
MIN_PER_S = 0.2
# Calls reserved for the next more urgent tier, as a time at the limit, and their
# minimum.
RESERVED_PER_TIER_S = 0.1
MIN_RESERVED = 1.0
# Reservations that a bucket can hold: one for each tier below another, and one more, so
# that a call of the last tier does not need a full bucket.
RESERVED_STEPS = 3


class PermitAllocator:
    """Counts the calls to endpoints whose home is this instance.

    The less urgent a call, the more calls must have accumulated for it.  So while there
    are more calls than the endpoint accepts, the more urgent ones are permitted.  A
    bucket starts empty, as the previous home may have spent its calls.
    """

    def __init__(self) -> None:
        self._buckets: dict[EndpointRun, TokenBucket] = {}

    def acquire(
        self, run: EndpointRun, limit_per_s: float, tier: int, now_ms: int
    ) -> int:
        """Acquire a call if there is one; return the time until there is one, in ms.

        :param run: the run of the endpoint.
        :param limit_per_s: its limit for all instances together.
        :param tier: urgency of the call, 0 first.
        :param now_ms: the current time.
        """
        bucket = self._buckets.get(run)
        if bucket is None:
            bucket = self._buckets[run] = TokenBucket(0.0, now_ms)
        rate_per_s = max(limit_per_s, MIN_PER_S)
        reserved = max(MIN_RESERVED, RESERVED_PER_TIER_S * rate_per_s)
        bucket.set_rate(rate_per_s, 1.0 + RESERVED_STEPS * reserved, now_ms)
        wait_ms = bucket.wait_ms(1.0 + tier * reserved, now_ms)
        if wait_ms <= 0:
            bucket.spend(1.0, now_ms)
            return 0
        return math.ceil(wait_ms)

    def retain_homes(self, is_home: Callable[[EndpointRun], bool]) -> None:
        """Discard the endpoints that have another home now.

        :param is_home: whether this instance is the home of a run.
        """
        for run in [each for each in self._buckets if not is_home(each)]:
            del self._buckets[run]
