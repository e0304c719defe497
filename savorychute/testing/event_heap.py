"""The heap of timed calls that a virtual run consists of."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class EventHeap:
    """Calls functions in the order of their times, and of their entry."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.calls = 0
        self._entries: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]]
        self._entries = []
        self._entered = 0

    def call_at(
        self, at_ms: float, function: Callable[..., object], *args: Any
    ) -> None:
        """Call *function* at a time; one that has passed means now."""
        self._entered += 1
        entry = (max(at_ms, self.now_ms), self._entered, function, args)
        heapq.heappush(self._entries, entry)

    def call_later(
        self, delay_ms: float, function: Callable[..., object], *args: Any
    ) -> None:
        """Call *function* after a delay."""
        self.call_at(self.now_ms + delay_ms, function, *args)

    def run_until(self, end_ms: float) -> None:
        """Make all calls that are due up to *end_ms*."""
        entries = self._entries
        while entries and entries[0][0] <= end_ms:
            at_ms, _, function, args = heapq.heappop(entries)
            self.now_ms = at_ms
            self.calls += 1
            function(*args)
        self.now_ms = max(self.now_ms, end_ms)
