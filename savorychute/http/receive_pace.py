"""Limits what large responses take of the event loop together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1_000
KIB = 1024
MIB = 1024 * KIB
# The work of one chunk or event, in bytes of a body that take as long.
WORK_PER_EVENT = 8 * KIB
# How much work a response may be without being paced: at once, and in each second.
FREE_WORK = 1 * MIB
FREE_WORK_PER_S = 1 * MIB
# The work of all other responses together, per second and at once.  It takes about a
# quarter of the event loop.
WORK_PER_S = 100 * MIB
MAX_BURST_WORK = 1 * MIB
# Bytes that are received at once.  A response can be paused only between two parts, so
# each slow caller may have one part more than where back-pressure starts.
MAX_PART_BYTES = 32 * KIB
FIRST_PART_BYTES = 2 * KIB
MIN_PART_BYTES = 512
# Chunks or events beyond which a part delays others for too long.
MAX_EVENTS_PER_PART = 64


class ReceivePace:
    """A token bucket for the work of the responses that are large.

    :param now_ms: returns the time of the event loop, in milliseconds.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self.now_ms = now_ms
        self._left = float(MAX_BURST_WORK)
        self._updated_ms = 0.0

    def spend(self, work: int) -> float:
        """Return after how many milliseconds the next part may be received.

        :param work: the work of the part that was received.
        """
        now_ms = self.now_ms()
        earned = (now_ms - self._updated_ms) * WORK_PER_S / MS_PER_S
        self._left = min(float(MAX_BURST_WORK), self._left + earned) - work
        self._updated_ms = now_ms
        return max(0.0, -self._left) * MS_PER_S / WORK_PER_S


class ResponsePace:
    """The pace of one response.

    :param shared: the pace of all responses together.
    """

    __slots__ = ('_shared', '_started_ms', '_work', 'part_bytes')

    def __init__(self, shared: ReceivePace) -> None:
        self._shared = shared
        self._started_ms = shared.now_ms()
        self._work = 0
        self.part_bytes = FIRST_PART_BYTES

    def record(self, size_bytes: int, events: int) -> float:
        """Return after how many milliseconds the next part may be received.

        :param size_bytes: size of the part that was received.
        :param events: the chunks or events that it held.
        """
        self._adapt(size_bytes, events)
        work = size_bytes + WORK_PER_EVENT * events
        self._work += work
        if self._work <= FREE_WORK:
            return 0.0
        elapsed_s = (self._shared.now_ms() - self._started_ms) / MS_PER_S
        if self._work <= FREE_WORK + FREE_WORK_PER_S * elapsed_s:
            return 0.0
        return self._shared.spend(work)

    def _adapt(self, size_bytes: int, events: int) -> None:
        """Receive less at once while parts hold many events, else more."""
        if events > MAX_EVENTS_PER_PART:
            smaller = size_bytes * MAX_EVENTS_PER_PART // events
            self.part_bytes = max(MIN_PART_BYTES, smaller)
        elif size_bytes >= self.part_bytes:
            self.part_bytes = min(MAX_PART_BYTES, 2 * self.part_bytes)
