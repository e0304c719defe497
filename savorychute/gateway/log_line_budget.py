"""Limits the rate of log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.clock import Clock

# A line takes about 0.1 ms of processor time: at these rates logs use 1 % and 2 % of
# one processor.
ROUTINE_LINES_PER_S = 100
IMPORTANT_LINES_PER_S = 200


class LogLineBudget:
    """Two token buckets, one for routine lines and one for warnings.

    Without a limit, an instance under load would spend its processor on routine lines.
    With one bucket for all, the lines that explain a failure would be dropped together
    with the routine ones.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refilled_ms = clock.now_ms()
        self._lines_left = {
            False: float(ROUTINE_LINES_PER_S),
            True: float(IMPORTANT_LINES_PER_S),
        }
        self.omitted = 0

    def acquire(self, important: bool) -> bool:
        """Return whether a line may be written; count it as omitted if not.

        :param important: whether the line is a warning or an error.
        """
        self._refill()
        if self._lines_left[important] < 1:
            self.omitted += 1
            return False
        self._lines_left[important] -= 1
        return True

    def pop_omitted(self) -> int:
        """Return how many lines were omitted since the last call."""
        omitted = self.omitted
        self.omitted = 0
        return omitted

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_s = max(0, now_ms - self._refilled_ms) / MS_PER_S
        self._refilled_ms = now_ms
        for important, lines_per_s in (
            (False, ROUTINE_LINES_PER_S),
            (True, IMPORTANT_LINES_PER_S),
        ):
            refilled = self._lines_left[important] + lines_per_s * elapsed_s
            self._lines_left[important] = min(refilled, float(lines_per_s))
