"""Splits the body of a stream into its events."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.http.event_buffer import MAX_EVENT_BYTES, EventBuffer

__all__ = ['MAX_EVENT_BYTES', 'EventSplitter', 'RawEvent']

ID_FIELD = b'id:'
# Fields without which a block of lines is no event.
EVENT_FIELDS = (b'id', b'data', b'event')


class RawEvent(NamedTuple):
    """The bytes of one event including its end, and its id (empty for none).

    ``is_filler`` is true for comments, blank lines and unknown fields alone.
    """

    event_id: str
    data: bytes
    is_filler: bool = False


class EventSplitter:
    """Returns the complete events of a body, with their bytes unchanged.

    An endpoint that crashes may stop within an event.  If a caller had received half of
    it, another endpoint could not supply the rest, so only complete events are
    forwarded.
    """

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        self._buffer = EventBuffer(MAX_EVENT_BYTES)

    @property
    def partial_bytes(self) -> int:
        """The number of buffered bytes of an incomplete event."""
        return self._buffer.partial_bytes

    @property
    def is_too_large(self) -> bool:
        """Whether an event exceeds the limit; no further events are returned."""
        return self._buffer.is_too_large

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that are complete with these bytes.

        :param data: the next bytes of the body.
        """
        return [_read_block(block) for block in self._buffer.feed(data)]


def _read_block(block: bytes) -> RawEvent:
    is_filler = True
    for line in block.splitlines():
        if line.startswith(ID_FIELD):
            event_id = line[len(ID_FIELD) :].strip().decode('latin-1')
            return RawEvent(event_id, block)
        if line.startswith(EVENT_FIELDS):
            is_filler = False
    return RawEvent('', block, is_filler)
