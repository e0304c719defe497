"""The time of day that most instances agree on."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.clock import Clock, WallClock

# Instances whose clocks are compared, those that were heard last.  With so many a third of
# clocks that are wrong is no majority by chance.
HEARD_KEPT = 64


class TrueTime:
    """Compares this host's time of day with that of others.

    A time of day may jump by seconds on a part of all hosts, and windows of time that each
    host cut by its own would then differ.  The steady clock goes on evenly, so what is
    estimated is its distance from the true time: the median of what others told and of what
    this host says itself.

    :param clock: the steady clock.
    :param wall: this host's time of day.
    """

    def __init__(self, clock: Clock, wall: WallClock) -> None:
        self._clock = clock
        self._wall = wall
        self._offsets_ms: dict[str, int] = {}
        self._offset_ms: int | None = None

    def own_offset_ms(self) -> int:
        """Return this host's time of day less its steady clock."""
        return self._wall.wall_ms() - self._clock.now_ms()

    def hear(self, instance: str, wall_ms: int, now_ms: int) -> None:
        """Take in the time of day of another instance.

        A message takes a few ms at most, far less than a clock that is set wrong is off.

        :param instance: which told it.
        :param wall_ms: its time of day; 0 for none.
        :param now_ms: the steady clock when it was heard.
        """
        if not wall_ms:
            return
        self._offsets_ms.pop(instance, None)
        self._offsets_ms[instance] = wall_ms - now_ms
        if len(self._offsets_ms) > HEARD_KEPT:
            del self._offsets_ms[next(iter(self._offsets_ms))]
        self._offset_ms = None

    def at_ms(self, steady_ms: int) -> int:
        """Return the true time of a moment of the steady clock.

        :param steady_ms: the moment.
        """
        if self._offset_ms is None:
            offsets_ms = [*self._offsets_ms.values(), self.own_offset_ms()]
            self._offset_ms = int(median_low(offsets_ms))
        return steady_ms + self._offset_ms

    def now_ms(self) -> int:
        """Return the true time."""
        return self.at_ms(self._clock.now_ms())
