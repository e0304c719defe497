"""The budget of retries of each organisation."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.recovery.retry_settings import RetrySettings


# The budget of an organisation without a bucket: enough for one request.  It may have
# spent its burst in an earlier incarnation of this instance, or before its bucket was
# dropped.
INITIAL_RETRIES = 2.0


class _Bucket:
    """Accumulated retries; ``requests`` counts requests since the last refill."""

    __slots__ = ('refilled_ms', 'requests', 'retries')

    def __init__(self, retries: float, now_ms: int) -> None:
        self.retries = retries
        self.requests = 0
        self.refilled_ms = now_ms


class RetryBudget:
    """A token bucket per organisation, filled by its requests.

    When most of a pool is unavailable, nearly all attempts fail.  If each were
    retried, the rest of the pool would get a multiple of its usual load and fail
    too.  A bucket that only requests fill bounds the attempts per request to one
    plus the retry share.  A small minimum rate lets organisations with few
    requests retry.

    :param settings: the burst, the minimum rate and the maximum number of
        organisations.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def __len__(self) -> int:
        return len(self._buckets)

    def record_request(self, organisation: str, now_ms: int) -> None:
        """Count a request of *organisation* that is not a retry."""
        self._bucket_of(organisation, now_ms).requests += 1

    def try_spend(self, organisation: str, retry_share: float, now_ms: int) -> bool:
        """Spend one retry of *organisation*; return ``False`` if none is left.

        :param retry_share: the retries per request that its contract permits.
        """
        bucket = self._bucket_of(organisation, now_ms)
        self._refill(bucket, retry_share, now_ms)
        if bucket.retries < 1:
            return False
        bucket.retries -= 1
        return True

    def _bucket_of(self, organisation: str, now_ms: int) -> _Bucket:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            retries = min(INITIAL_RETRIES, self._settings.burst)
            bucket = _Bucket(retries, now_ms)
            self._buckets[organisation] = bucket
            if len(self._buckets) > self._settings.organisations:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(organisation)
        return bucket

    def _refill(self, bucket: _Bucket, retry_share: float, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - bucket.refilled_ms)
        earned = bucket.requests * retry_share
        earned += elapsed_ms * self._settings.floor_per_s / MS_PER_S
        bucket.retries = min(bucket.retries + earned, self._settings.burst)
        bucket.requests = 0
        bucket.refilled_ms = now_ms
