"""The steps of a stand-in engine as a function of time."""

from __future__ import annotations

import math

EPSILON_STEPS = 1e-6


class StepClock:
    """Counts steps whose duration may change.

    No call is needed at each step: the count is computed from the time since the
    last change of the duration.

    :param step_ms: the initial duration of a step.
    """

    def __init__(self, step_ms: float) -> None:
        self.step_ms = step_ms
        self._since_ms = 0.0
        self._position = 0.0

    def step_at(self, now_ms: float) -> int:
        """Return the number of completed steps."""
        return math.floor(self._position_at(now_ms) + EPSILON_STEPS)

    def time_of(self, step: int) -> float:
        """Return the end time of *step* if the duration does not change."""
        return self._since_ms + (step - self._position) * self.step_ms

    def change(self, step_ms: float, now_ms: float) -> None:
        """Set the duration of a step from now on."""
        if step_ms == self.step_ms:
            return
        self._position = self._position_at(now_ms)
        self._since_ms = now_ms
        self.step_ms = step_ms

    def skip_to(self, now_ms: float) -> None:
        """Skip the time since the last change, without counting steps."""
        self._since_ms = max(self._since_ms, now_ms)

    def freeze(self, now_ms: float) -> None:
        """Store the position at *now_ms*, before a period of time is skipped."""
        self._position = self._position_at(now_ms)
        self._since_ms = now_ms

    def _position_at(self, now_ms: float) -> float:
        return self._position + max(0.0, now_ms - self._since_ms) / self.step_ms
