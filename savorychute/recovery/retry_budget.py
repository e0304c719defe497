"""How many retries an organisation may cause."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.recovery.retry_settings import RetrySettings


# What an organisation has that is new here: enough for one request.  Nobody knows whether it
# has spent its burst at an earlier run of this instance, or before it was forgotten.
FIRST_RETRIES = 2.0


class _Bucket:
    """Retries saved up; ``requests`` counts those since the last refill."""

    __slots__ = ('filled_ms', 'requests', 'retries')

    def __init__(self, retries: float, now_ms: int) -> None:
        self.retries = retries
        self.requests = 0
        self.filled_ms = now_ms


class RetryBudget:
    """A token bucket per organisation, filled by its requests.

    When most of a pool is gone nearly all attempts fail.  If each were retried,
    what is left of the pool would carry a multiple of its usual load and fail
    too.  A bucket that only requests fill bounds attempts per request by one
    plus the retry share.  A small floor lets organisations with few requests retry.

    :param settings: the burst, the floor and the bound on organisations.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def __len__(self) -> int:
        return len(self._buckets)

    def request(self, organisation: str, now_ms: int) -> None:
        """Count a request (not a retry) of *organisation*."""
        self._bucket_of(organisation, now_ms).requests += 1

    def try_spend(self, organisation: str, retry_share: float, now_ms: int) -> bool:
        """Take one retry of *organisation*; false if it has none left.

        :param retry_share: retries per request that its contract permits.
        """
        bucket = self._bucket_of(organisation, now_ms)
        self._fill(bucket, retry_share, now_ms)
        if bucket.retries < 1:
            return False
        bucket.retries -= 1
        return True

    def _bucket_of(self, organisation: str, now_ms: int) -> _Bucket:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            retries = min(FIRST_RETRIES, self._settings.burst)
            bucket = _Bucket(retries, now_ms)
            self._buckets[organisation] = bucket
            if len(self._buckets) > self._settings.organisations:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(organisation)
        return bucket

    def _fill(self, bucket: _Bucket, retry_share: float, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - bucket.filled_ms)
        earned = bucket.requests * retry_share
        earned += elapsed_ms * self._settings.floor_per_s / MS_PER_S
        bucket.retries = min(bucket.retries + earned, self._settings.burst)
        bucket.requests = 0
        bucket.filled_ms = now_ms
