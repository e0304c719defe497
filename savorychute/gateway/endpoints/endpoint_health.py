"""How an endpoint has treated this instance's requests."""

from __future__ import annotations

# An endpoint that does not answer is tried again soon: most crashes of a few seconds
# end with a new run under a new name, so a long block would serve nobody.
FIRST_BLOCK_MS = 500
LONGEST_BLOCK_MS = 4_000
# Weight of the newest outcome; about the last eight outcomes count.
OUTCOME_WEIGHT = 0.12
# Blame fades by half in this time.  An endpoint that is avoided shows no successes that could
# take it away, and would be avoided for good after a few seconds of trouble.
HALF_LIFE_MS = 2_000


class EndpointHealth:
    """Blocks an endpoint that does not answer, for a time that doubles.

    Failures that it answers count as a moving share, which fades.
    """

    __slots__ = ('_block_ms', '_share', '_share_ms', 'blocked_until_ms')

    def __init__(self) -> None:
        self.blocked_until_ms = 0
        self._share = 0.0
        self._share_ms = 0
        self._block_ms = FIRST_BLOCK_MS

    def is_blocked(self, now_ms: int) -> bool:
        """Return whether new requests should go elsewhere for now."""
        return now_ms < self.blocked_until_ms

    def failure_share(self, now_ms: int) -> float:
        """Return the moving share of answers that were failures.

        :param now_ms: the time.
        """
        if not self._share:
            return 0.0
        return float(self._share * 0.5 ** ((now_ms - self._share_ms) / HALF_LIFE_MS))

    def succeeded(self, now_ms: int) -> None:
        """Note a whole answer.

        :param now_ms: the time.
        """
        self._block_ms = FIRST_BLOCK_MS
        self._move_share(0.0, now_ms)

    def failed(self, now_ms: int) -> None:
        """Note an answer that says that the request failed.

        :param now_ms: the time.
        """
        self._move_share(1.0, now_ms)

    def _move_share(self, outcome: float, now_ms: int) -> None:
        share = self.failure_share(now_ms)
        self._share = share + OUTCOME_WEIGHT * (outcome - share)
        self._share_ms = now_ms

    def silent(self, now_ms: int) -> None:
        """Note that there was no answer at all, and block the endpoint for a while.

        :param now_ms: the time.
        """
        self.failed(now_ms)
        if self.is_blocked(now_ms):
            return
        self.blocked_until_ms = now_ms + self._block_ms
        self._block_ms = min(2 * self._block_ms, LONGEST_BLOCK_MS)
