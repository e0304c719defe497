"""Cuts the body of a stream at the ends of its events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
EVENT_BOUND_BYTES = 1024 * 1024


class RawEvent(NamedTuple):
    """The bytes of one event, with its end, and its id (empty for none)."""

    event_id: str
    data: bytes


class EventSplitter:
    """Gives the whole events of a body, byte for byte.

    An endpoint that crashes may stop within an event.  A caller that got half of it
    could not be given the rest by another endpoint, so only whole events are passed on.
    """

    __slots__ = ('_rest',)

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest_bytes(self) -> int:
        """How many bytes of an event that has not ended are held."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that more bytes complete.

        :param data: the next bytes of the body.
        """
        buffer = self._rest + data
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
        self._rest = buffer[start:]
        return events


def _find_id(block: bytes) -> str:
    for line in block.split(b'\n'):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return ''
