"""A bound on messages that nobody asked for."""

from __future__ import annotations

from savorychute.clock import MS_PER_S


class PushAllowance:
    """As many messages as one second allows, and that many at once.

    :param per_s: messages a second.
    :param now_ms: the time.
    """

    def __init__(self, per_s: int, now_ms: int) -> None:
        self.per_s = per_s
        self._left = float(per_s)
        self._filled_ms = now_ms

    def fill(self, now_ms: int) -> None:
        """Let time pass.

        :param now_ms: the time.
        """
        elapsed_ms = max(0, now_ms - self._filled_ms)
        self._filled_ms = now_ms
        self._left = min(self.per_s, self._left + elapsed_ms * self.per_s / MS_PER_S)

    def take(self, count: int) -> int:
        """Return how many of *count* messages may be sent now.

        :param count: how many are wanted.
        """
        allowed = min(count, int(self._left))
        self._left -= allowed
        return allowed
