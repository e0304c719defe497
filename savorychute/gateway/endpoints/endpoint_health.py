"""How an endpoint has treated this instance's requests."""

from __future__ import annotations

# An endpoint that does not answer is tried again soon: most crashes of a few seconds
# end with a new run under a new name, so a long block would serve nobody.
FIRST_BLOCK_MS = 500
LONGEST_BLOCK_MS = 4_000
# Weight of the newest outcome; about the last eight outcomes count.
OUTCOME_WEIGHT = 0.12


class EndpointHealth:
    """Blocks an endpoint that does not answer, for a time that doubles.

    ``failure_share`` is the moving share of answers that were failures.
    """

    __slots__ = ('_block_ms', 'blocked_until_ms', 'failure_share')

    def __init__(self) -> None:
        self.blocked_until_ms = 0
        self.failure_share = 0.0
        self._block_ms = FIRST_BLOCK_MS

    def is_blocked(self, now_ms: int) -> bool:
        """Return whether new requests should go elsewhere for now."""
        return now_ms < self.blocked_until_ms

    def succeeded(self) -> None:
        """Note a whole answer."""
        self._block_ms = FIRST_BLOCK_MS
        self.failure_share -= OUTCOME_WEIGHT * self.failure_share

    def failed(self) -> None:
        """Note an answer that says that the request failed."""
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share)

    def silent(self, now_ms: int) -> None:
        """Note that there was no answer at all, and block the endpoint for a while.

        :param now_ms: the time.
        """
        self.failed()
        if self.is_blocked(now_ms):
            return
        self.blocked_until_ms = now_ms + self._block_ms
        self._block_ms = min(2 * self._block_ms, LONGEST_BLOCK_MS)
