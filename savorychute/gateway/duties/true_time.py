"""The time of day that most instances agree on."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.clock import Clock, WallClock

# The number of most recently received clocks that are compared. With this sample size,
# it is unlikely that a third of wrong clocks forms a majority by chance.
MAX_TRACKED_INSTANCES = 64


class TrueTime:
    """Estimates the true time from the clocks of this host and of other instances.

    The time of day may jump by seconds on some of the hosts, and hosts that divided
    time into windows by their own clocks would then disagree. The monotonic clock
    advances evenly, so only its offset from the true time is estimated: the median of
    the offsets of other instances' clocks and of this host's own clock.

    :param clock: the monotonic clock.
    :param wall_clock: the time of day of this host.
    """

    def __init__(self, clock: Clock, wall_clock: WallClock) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._offsets_ms: dict[str, int] = {}
        self._offset_ms: int | None = None

    def own_offset_ms(self) -> int:
        """Return this host's time of day minus its monotonic clock."""
        return self._wall_clock.wall_ms() - self._clock.now_ms()

    def record_wall_time(self, instance: str, wall_ms: int, now_ms: int) -> None:
        """Record the time of day of another instance.

        A message takes a few ms at most, which is far less than the error of a wrong
        clock.

        :param instance: the name of the sender.
        :param wall_ms: its time of day; 0 if unknown.
        :param now_ms: the monotonic clock when the message was received.
        """
        if not wall_ms:
            return
        self._offsets_ms.pop(instance, None)
        self._offsets_ms[instance] = wall_ms - now_ms
        if len(self._offsets_ms) > MAX_TRACKED_INSTANCES:
            del self._offsets_ms[next(iter(self._offsets_ms))]
        self._offset_ms = None

    def at_ms(self, monotonic_ms: int) -> int:
        """Convert a time of the monotonic clock to the true time.

        :param monotonic_ms: the time of the monotonic clock.
        """
        if self._offset_ms is None:
            offsets_ms = [*self._offsets_ms.values(), self.own_offset_ms()]
            self._offset_ms = int(median_low(offsets_ms))
        return monotonic_ms + self._offset_ms

    def now_ms(self) -> int:
        """Return the current true time."""
        return self.at_ms(self._clock.now_ms())
