"""Rate limit of unsolicited messages."""

from __future__ import annotations

from savorychute.clock import MS_PER_S


class PushAllowance:
    """A limit of messages per second, which is also the largest burst.

    :param per_s: messages per second.
    :param now_ms: the current time.
    """

    def __init__(self, per_s: int, now_ms: int) -> None:
        self.per_s = per_s
        self._left = float(per_s)
        self._filled_ms = now_ms

    def refill(self, now_ms: int) -> None:
        """Add the messages that are allowed for the elapsed time.

        :param now_ms: the current time.
        """
        elapsed_ms = max(0, now_ms - self._filled_ms)
        self._filled_ms = now_ms
        self._left = min(self.per_s, self._left + elapsed_ms * self.per_s / MS_PER_S)

    def acquire(self, count: int) -> int:
        """Return how many of *count* messages can be sent now, and consume them.

        :param count: number of messages to send.
        """
        allowed = min(count, int(self._left))
        self._left -= allowed
        return allowed
