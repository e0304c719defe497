"""The cap on the retries of a run, as stated by its entry in the platform's store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# The cap that an entry states while nothing fails.  The next run of the instance counts it
# as spent, so it is low; occasional failures need no more.
INITIAL_RETRIES = 2
# The share of a run grows with each of its requests; the cap is raised by at least this
# factor, so that the store is rarely written.
MIN_GROWTH_FACTOR = 1.5


class RetryCap:
    """The maximum number of retries that a run sends to any service within the window.

    The entry of the run in the store states the cap, and the next run counts all of it as
    spent, because nothing else is known of a run that was killed.  The cap is therefore
    low while nothing fails, is raised to the whole share of the run when retries are
    needed, and is lowered after a window without need.  A raised cap takes effect only
    after the store has accepted it.

    :param now_ms: the time at the start of the run.
    """

    def __init__(self, now_ms: int) -> None:
        # No retry is allowed before the instance is registered.
        self.value = 0.0
        self._initial_cap = 0.0
        self._requested_cap = 0
        self._last_needed_ms = now_ms
        self._closed = False
        # Called when a larger cap is needed; retries wait for it.
        self.on_increase_needed: Callable[[], None] | None = None

    def start(self, inherited: float | None) -> float | None:
        """Return the cap that the entry states first; None for no cap.

        :param inherited: the retries earlier runs may have spent; None if unknown.
        """
        if inherited is None:
            self._initial_cap = math.inf
            return None
        self._initial_cap = max(float(INITIAL_RETRIES), inherited)
        return self._initial_cap

    def mark_stored(self) -> None:
        """Apply the first cap, because the store holds the entry."""
        self.value = self._initial_cap

    def record_need(self, retries: float, share: float, now_ms: int) -> None:
        """Record that a run needs to send a retry.

        :param retries: the retries within the window, including this one.
        :param share: the retries that the bound allows the run within the window.
        :param now_ms: the current time.
        """
        if retries > INITIAL_RETRIES:
            self._last_needed_ms = now_ms
        if retries + 1 > self.value and retries <= share:
            self._requested_cap = math.ceil(max(share, MIN_GROWTH_FACTOR * self.value))
            if self.on_increase_needed is not None:
                self.on_increase_needed()

    def find_change(self, window_ms: int, now_ms: int) -> float | None:
        """Return the cap that the entry should state next; None for no change.

        :param window_ms: the window of the retry bound.
        :param now_ms: the current time.
        """
        if self._closed:
            return None
        if self._requested_cap > self.value:
            return self._requested_cap
        is_calm = now_ms - self._last_needed_ms >= window_ms
        if is_calm and self.value > INITIAL_RETRIES:
            return float(INITIAL_RETRIES)
        return None

    def change_started(self, value: float) -> None:
        """Apply the smaller of both caps while a new one is written to the store.

        Until the write is confirmed, the store may hold either cap.

        :param value: the new cap.
        """
        self._requested_cap = 0
        self.value = min(self.value, value)

    def change_confirmed(self, value: float) -> None:
        """Apply a new cap, because the store holds it.

        :param value: the new cap.
        """
        if not self._closed:
            self.value = value

    def close(self, value: float) -> None:
        """Limit the cap to a value and allow no further change.

        :param value: the last cap.
        """
        self._closed = True
        self.value = min(self.value, value)
