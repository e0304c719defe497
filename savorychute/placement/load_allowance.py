"""How many loads the weight store permits."""

from __future__ import annotations

from savorychute.limits.token_bucket import TokenBucket

S_PER_MIN = 60


class LoadAllowance:
    """A token bucket of loads.

    It begins empty: the holder before may just have spent all that the store
    permits.  So in any time *t* at most ``burst + rate * t`` loads are sent,
    also over a change of the holder.

    :param loads_per_min: the rate.
    :param burst: the most that is saved up.
    """

    def __init__(self, loads_per_min: float, burst: int) -> None:
        self._rate_per_s = loads_per_min / S_PER_MIN
        self._burst = burst
        self._bucket = TokenBucket(0.0, 0)

    def begin(self, now_ms: int) -> None:
        """Start to count."""
        self._bucket = TokenBucket(0.0, now_ms)
        self._bucket.set_rate(self._rate_per_s, self._burst, now_ms)

    def permits(self, now_ms: int) -> bool:
        """Return whether a load may be sent now."""
        return self._bucket.wait_ms(1, now_ms) <= 0

    def spend(self, now_ms: int) -> None:
        """Count a load that is sent."""
        self._bucket.spend(1, now_ms)
