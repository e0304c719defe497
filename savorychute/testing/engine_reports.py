"""Delayed load reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.testing.engine_load import EngineLoad


class LaggingReports:
    """Stores load figures and returns them after a delay.

    :param lag_ms: the minimum age of the returned figures.
    """

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._recorded: deque[tuple[float, EngineLoad]] = deque()

    def record(self, load: EngineLoad, now_ms: float) -> None:
        """Record the current figures."""
        self._recorded.append((now_ms, load))

    def read(self, now_ms: float) -> tuple[EngineLoad, int]:
        """Return the newest figures older than the lag, and their age in ms."""
        while len(self._recorded) > 1 and self._recorded[1][0] <= now_ms - self.lag_ms:
            self._recorded.popleft()
        recorded_ms, load = self._recorded[0]
        return load, int(now_ms - recorded_ms)
