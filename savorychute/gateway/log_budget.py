"""Bounds how many log lines are written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.clock import Clock

# A line takes about 0.1 ms of a processor: at these rates logs take 1 % and 2 % of one.
ROUTINE_PER_S = 100
IMPORTANT_PER_S = 200


class LogBudget:
    """Two token buckets: routine lines run out first, warnings have one of their own.

    Under load an instance would otherwise spend its processor on saying that all is
    well, and the lines that explain a failure would be dropped with the others.

    :param clock: the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._filled_ms = clock.now_ms()
        self._left = {False: float(ROUTINE_PER_S), True: float(IMPORTANT_PER_S)}
        self.omitted = 0

    def take(self, important: bool) -> bool:
        """Return whether a line may be written; count it if not.

        :param important: whether it tells of something that went wrong.
        """
        self._fill()
        if self._left[important] < 1:
            self.omitted += 1
            return False
        self._left[important] -= 1
        return True

    def take_omitted(self) -> int:
        """Return how many lines were left out since the last call."""
        omitted = self.omitted
        self.omitted = 0
        return omitted

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_s = max(0, now_ms - self._filled_ms) / MS_PER_S
        self._filled_ms = now_ms
        for important, rate in ((False, ROUTINE_PER_S), (True, IMPORTANT_PER_S)):
            filled = self._left[important] + rate * elapsed_s
            self._left[important] = min(filled, float(rate))
