"""Arrival times of the events of a response."""

from __future__ import annotations


class EventTimes:
    """Measures the time to the first event and the longest gap between two events.

    :param started_ms: when the request arrived.
    """

    __slots__ = ('_last_ms', '_started_ms', 'first_ms', 'longest_gap_ms')

    def __init__(self, started_ms: int) -> None:
        self._started_ms = started_ms
        self._last_ms: int | None = None
        self.first_ms = 0
        self.longest_gap_ms = 0

    def skip_gap(self, now_ms: int) -> None:
        """Exclude the time until now from the gap before the next event.

        :param now_ms: the current time, when the response is read again after a pause.
        """
        if self._last_ms is not None:
            self._last_ms = now_ms

    def record(self, now_ms: int) -> int | None:
        """Record an event; return the gap before it, or None for the first.

        :param now_ms: the current time.
        """
        last_ms = self._last_ms
        self._last_ms = now_ms
        if last_ms is None:
            self.first_ms = now_ms - self._started_ms
            return None
        gap_ms = now_ms - last_ms
        self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        return gap_ms
