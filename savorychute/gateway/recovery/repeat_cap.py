"""How many repeats a run may send by what its entry in the platform's store states."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# What an entry states while nothing fails.  The next run of the instance counts it as spent,
# so it is low; the usual failures need no more.
FIRST_REPEATS = 2
# The part of a run grows with each of its requests; the cap is raised in steps of this
# factor at least, so that the store is told seldom.
LEAST_GROWTH = 1.5


class RepeatCap:
    """The most that a run sends to any service within the window, as its entry states it.

    The next run counts all of it as spent, because nothing else is known of a run that was
    killed.  So the cap is low while nothing fails, is raised to the whole part of the
    run when repeats are needed, and lowered after a window without need.  A raised cap
    holds only when the store has taken it in.

    :param now_ms: the time, at the start of the run.
    """

    def __init__(self, now_ms: int) -> None:
        # Nothing before the instance is entered.
        self.value = 0.0
        self._first = 0.0
        self._wanted = 0
        self._needed_ms = now_ms
        self._closed = False
        # Called when a larger cap is needed; callers wait for it.
        self.on_needed: Callable[[], None] | None = None

    def begin(self, inherited: float | None) -> float | None:
        """Return what the entry states first; None for no cap.

        :param inherited: what earlier runs may have spent; None if nobody knows.
        """
        if inherited is None:
            self._first = math.inf
            return None
        self._first = max(float(FIRST_REPEATS), inherited)
        return self._first

    def entered(self) -> None:
        """Take in that the store holds the entry."""
        self.value = self._first

    def need(self, repeats: float, part: float, now_ms: int) -> None:
        """Take in that a run would send a repeat.

        :param repeats: those within the window with this one.
        :param part: what the run may spend there by the bound.
        :param now_ms: the time.
        """
        if repeats > FIRST_REPEATS:
            self._needed_ms = now_ms
        if repeats + 1 > self.value and repeats <= part:
            self._wanted = math.ceil(max(part, LEAST_GROWTH * self.value))
            if self.on_needed is not None:
                self.on_needed()

    def find_change(self, window_ms: int, now_ms: int) -> float | None:
        """Return what the entry should state from now on; None if nothing changes.

        :param window_ms: the window of the bound.
        :param now_ms: the time.
        """
        if self._closed:
            return None
        if self._wanted > self.value:
            return self._wanted
        is_calm = now_ms - self._needed_ms >= window_ms
        if is_calm and self.value > FIRST_REPEATS:
            return float(FIRST_REPEATS)
        return None

    def change_begins(self, value: float) -> None:
        """Take in that the store is told another cap; from now on it may hold either.

        :param value: the other one.
        """
        self._wanted = 0
        self.value = min(self.value, value)

    def change_is_known(self, value: float) -> None:
        """Take in that the store holds another cap.

        :param value: the other one.
        """
        if not self._closed:
            self.value = value

    def close(self, value: float) -> None:
        """Let the cap stay at a value, or below.

        :param value: the last one.
        """
        self._closed = True
        self.value = min(self.value, value)
