"""The rate of loads that the weight store permits."""

from __future__ import annotations

from savorychute.limits.token_bucket import TokenBucket

S_PER_MIN = 60


class LoadAllowance:
    """A token bucket of loads.

    It starts empty, because the previous lease holder may just have used all
    that the store permits.  In any time *t* at most ``burst + rate * t`` loads
    are therefore sent, even across a change of the holder.

    :param loads_per_min: the rate.
    :param burst: the capacity of the bucket.
    """

    def __init__(self, loads_per_min: float, burst: int) -> None:
        self._rate_per_s = loads_per_min / S_PER_MIN
        self._burst = burst
        self._bucket = TokenBucket(0.0, 0)

    def start(self, now_ms: int) -> None:
        """Start to fill the empty bucket."""
        self._bucket = TokenBucket(0.0, now_ms)
        self._bucket.set_rate(self._rate_per_s, self._burst, now_ms)

    def permits(self, now_ms: int) -> bool:
        """Return whether a load may be sent now."""
        return self._bucket.wait_ms(1, now_ms) <= 0

    def spend(self, now_ms: int) -> None:
        """Count a load that is sent."""
        self._bucket.spend(1, now_ms)
