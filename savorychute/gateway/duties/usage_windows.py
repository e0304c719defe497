"""The windows of true time over which usage is counted."""

from __future__ import annotations

from typing import NamedTuple


class UsageWindows(NamedTuple):
    """Windows of equal length since the start of 1970, and when their reports are due.

    ``due_ms`` is measured from the end of a window.
    """

    length_ms: int
    due_ms: int

    def window_at(self, true_ms: int) -> int:
        """Return the number of the window that contains a time."""
        return true_ms // self.length_ms

    def end_ms(self, window: int) -> int:
        """Return the end of a window."""
        return (window + 1) * self.length_ms

    def reportable(self, true_ms: int) -> range:
        """Return the windows that have ended and whose reports are not overdue."""
        first = self.window_at(true_ms - self.due_ms - self.length_ms) + 1
        return range(first, self.window_at(true_ms))
