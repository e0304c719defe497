"""When the events of an answer came."""

from __future__ import annotations


class EventTimes:
    """The first event, and the longest pause between two.

    :param began_ms: when the request arrived.
    """

    __slots__ = ('_began_ms', '_last_ms', 'first_ms', 'longest_gap_ms')

    def __init__(self, began_ms: int) -> None:
        self._began_ms = began_ms
        self._last_ms: int | None = None
        self.first_ms = 0
        self.longest_gap_ms = 0

    def note(self, now_ms: int) -> int | None:
        """Note an event; return the pause before it, or None for the first.

        :param now_ms: the time.
        """
        last_ms = self._last_ms
        self._last_ms = now_ms
        if last_ms is None:
            self.first_ms = now_ms - self._began_ms
            return None
        gap_ms = now_ms - last_ms
        self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        return gap_ms
