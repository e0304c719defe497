"""Clocks that count milliseconds."""

from __future__ import annotations

import time
from typing import Protocol

NS_PER_MS = 1_000_000
MS_PER_S = 1_000


class Clock(Protocol):
    """A source of monotonic time."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary, fixed point."""
        ...


class WallClock(Protocol):
    """The time of day, which may be wrong and may jump."""

    def wall_ms(self) -> int:
        """Return milliseconds since the start of 1970, as this host knows them."""
        ...


class SystemWallClock:
    """The host's time of day."""

    def wall_ms(self) -> int:
        """Return milliseconds since the start of 1970."""
        return time.time_ns() // NS_PER_MS


class SystemClock:
    """The host's monotonic clock, counting time spent suspended.

    A lease holder that was suspended must see that its lease has lapsed.
    ``CLOCK_MONOTONIC`` stops during a suspend, ``CLOCK_BOOTTIME`` does not.
    """

    def now_ms(self) -> int:
        """Return milliseconds since the host booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class ManualClock:
    """A clock that stands still until it is told to move."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was set last."""
        return self._now_ms

    def advance_to(self, now_ms: int) -> None:
        """Move the clock forward; an earlier time leaves it where it is.

        :param now_ms: the new time.
        """
        self._now_ms = max(self._now_ms, now_ms)
