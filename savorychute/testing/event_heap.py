"""The heap of timed calls that drives a simulation."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class EventHeap:
    """Calls functions in the order of their times, then of their insertion."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.calls = 0
        self._entries: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]]
        self._entries = []
        self._last_entry_number = 0

    def call_at(
        self, at_ms: float, function: Callable[..., object], *args: Any
    ) -> None:
        """Call *function* at a time; a time in the past means now."""
        self._last_entry_number += 1
        entry = (max(at_ms, self.now_ms), self._last_entry_number, function, args)
        heapq.heappush(self._entries, entry)

    def call_later(
        self, delay_ms: float, function: Callable[..., object], *args: Any
    ) -> None:
        """Call *function* after a delay."""
        self.call_at(self.now_ms + delay_ms, function, *args)

    def run_until(self, end_ms: float) -> None:
        """Run all calls that are due up to *end_ms*."""
        entries = self._entries
        while entries and entries[0][0] <= end_ms:
            at_ms, _, function, args = heapq.heappop(entries)
            self.now_ms = at_ms
            self.calls += 1
            function(*args)
        self.now_ms = max(self.now_ms, end_ms)
