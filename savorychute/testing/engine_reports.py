"""Load reports that lag behind."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.testing.engine_load import EngineLoad


class LaggingReports:
    """Remembers figures and gives out those that are old enough.

    :param lag_ms: how old the figures are that a reader gets.
    """

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._noted: deque[tuple[float, EngineLoad]] = deque()

    def note(self, load: EngineLoad, now_ms: float) -> None:
        """Remember the figures of this moment."""
        self._noted.append((now_ms, load))

    def read(self, now_ms: float) -> tuple[EngineLoad, int]:
        """Return the newest figures older than the lag, and their age in ms."""
        while len(self._noted) > 1 and self._noted[1][0] <= now_ms - self.lag_ms:
            self._noted.popleft()
        noted_ms, load = self._noted[0]
        return load, int(now_ms - noted_ms)
