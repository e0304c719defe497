"""Splits the body of a stream into its events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
MAX_EVENT_BYTES = 1024 * 1024


class RawEvent(NamedTuple):
    """The bytes of one event including its end, and its id (empty for none)."""

    event_id: str
    data: bytes


class EventSplitter:
    """Returns the complete events of a body, with their bytes unchanged.

    An endpoint that crashes may stop within an event.  If a caller had received half of
    it, another endpoint could not supply the rest, so only complete events are
    forwarded.
    """

    __slots__ = ('_partial',)

    def __init__(self) -> None:
        self._partial = b''

    @property
    def partial_bytes(self) -> int:
        """The number of buffered bytes of an incomplete event."""
        return len(self._partial)

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that are complete with these bytes.

        :param data: the next bytes of the body.
        """
        buffer = self._partial + data
        events = []
        start = 0
        while True:
            end = buffer.find(EVENT_END, start)
            if end < 0:
                break
            end += len(EVENT_END)
            block = buffer[start:end]
            events.append(RawEvent(_find_id(block), block))
            start = end
        self._partial = buffer[start:]
        return events


def _find_id(block: bytes) -> str:
    for line in block.split(b'\n'):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return ''
