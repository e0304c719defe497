"""The steps of a stand-in engine as a function of time."""

from __future__ import annotations

import math

EPSILON_STEPS = 1e-6


class StepClock:
    """Counts steps whose duration changes from time to time.

    Nothing has to run at each step: the count follows from the time since the
    duration changed last.

    :param step_ms: the duration of the first steps.
    """

    def __init__(self, step_ms: float) -> None:
        self.step_ms = step_ms
        self._since_ms = 0.0
        self._position = 0.0

    def step_at(self, now_ms: float) -> int:
        """Return the number of whole steps that have passed."""
        return math.floor(self._position_at(now_ms) + EPSILON_STEPS)

    def time_of(self, step: int) -> float:
        """Return when *step* is over if the duration stays as it is."""
        return self._since_ms + (step - self._position) * self.step_ms

    def change(self, step_ms: float, now_ms: float) -> None:
        """Let steps take *step_ms* from now on."""
        if step_ms == self.step_ms:
            return
        self._position = self._position_at(now_ms)
        self._since_ms = now_ms
        self.step_ms = step_ms

    def skip_to(self, now_ms: float) -> None:
        """Take back the time since the last change: nothing was stepped."""
        self._since_ms = max(self._since_ms, now_ms)

    def freeze(self, now_ms: float) -> None:
        """Remember the position at *now_ms*, before time is skipped."""
        self._position = self._position_at(now_ms)
        self._since_ms = now_ms

    def _position_at(self, now_ms: float) -> float:
        return self._position + max(0.0, now_ms - self._since_ms) / self.step_ms
