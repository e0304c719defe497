"""Health of an endpoint, as shown by the outcomes of this instance's requests."""

from __future__ import annotations

# An unresponsive endpoint is used again soon: most crashes of a few seconds end with a
# new run under a new name, so a long block would not help.
MIN_BLOCK_MS = 500
MAX_BLOCK_MS = 4_000
# Weight of the newest outcome, such that about the last eight outcomes count.
OUTCOME_WEIGHT = 0.12
# Half-life of the failure share.  An endpoint that gets no requests has no successes
# that would reduce its failure share, and without decay it would be avoided forever
# after a few seconds of failures.
FAILURE_HALF_LIFE_MS = 2_000


class EndpointHealth:
    """Blocks an unresponsive endpoint, for a time that doubles.

    Failures that it reports count towards a decaying failure share.
    """

    __slots__ = ('_block_ms', '_failure_share', '_updated_ms', 'blocked_until_ms')

    def __init__(self) -> None:
        self.blocked_until_ms = 0
        self._failure_share = 0.0
        self._updated_ms = 0
        self._block_ms = MIN_BLOCK_MS

    def is_blocked(self, now_ms: int) -> bool:
        """Return whether new requests should use other endpoints at present."""
        return now_ms < self.blocked_until_ms

    def failure_share(self, now_ms: int) -> float:
        """Return the decaying share of failed responses.

        :param now_ms: the current time.
        """
        if not self._failure_share:
            return 0.0
        return float(
            self._failure_share
            * 0.5 ** ((now_ms - self._updated_ms) / FAILURE_HALF_LIFE_MS)
        )

    def record_success(self, now_ms: int) -> None:
        """Record a complete response.

        :param now_ms: the current time.
        """
        self._block_ms = MIN_BLOCK_MS
        self._update_failure_share(0.0, now_ms)

    def record_failure(self, now_ms: int) -> None:
        """Record a response that reports a failure of the request.

        :param now_ms: the current time.
        """
        self._update_failure_share(1.0, now_ms)

    def _update_failure_share(self, outcome: float, now_ms: int) -> None:
        share = self.failure_share(now_ms)
        self._failure_share = share + OUTCOME_WEIGHT * (outcome - share)
        self._updated_ms = now_ms

    def record_unresponsive(self, now_ms: int) -> None:
        """Record that there was no response, and block the endpoint for a while.

        :param now_ms: the current time.
        """
        self.record_failure(now_ms)
        if self.is_blocked(now_ms):
            return
        self.blocked_until_ms = now_ms + self._block_ms
        self._block_ms = min(2 * self._block_ms, MAX_BLOCK_MS)
