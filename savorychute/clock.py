"""Clocks with millisecond resolution."""

from __future__ import annotations

import time
from typing import Protocol

NS_PER_MS = 1_000_000
MS_PER_S = 1_000


class Clock(Protocol):
    """A source of monotonic time."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary fixed point in time."""
        ...


class WallClock(Protocol):
    """A source of wall-clock time, which may be wrong and may jump."""

    def wall_ms(self) -> int:
        """Return milliseconds since the start of 1970 according to this host."""
        ...


class SystemWallClock:
    """The host's wall clock."""

    def wall_ms(self) -> int:
        """Return milliseconds since the start of 1970."""
        return time.time_ns() // NS_PER_MS


class SystemClock:
    """The host's monotonic clock, including time spent suspended.

    A lease holder that was suspended must detect that its lease has lapsed.
    ``CLOCK_MONOTONIC`` stops while the host is suspended, ``CLOCK_BOOTTIME`` does
    not.
    """

    def now_ms(self) -> int:
        """Return milliseconds since the host booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class ManualClock:
    """A clock that only advances when it is set."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was last set."""
        return self._now_ms

    def advance_to(self, now_ms: int) -> None:
        """Advance the clock; an earlier time has no effect.

        :param now_ms: the new time.
        """
        self._now_ms = max(self._now_ms, now_ms)
