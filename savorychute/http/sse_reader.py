"""Parser of server-sent events.

The format is defined in the HTML standard, section "Server-sent events"; only
``id``, ``event`` and ``data`` are read.
"""

from __future__ import annotations

from typing import NamedTuple

from savorychute.errors import SavorychuteError
from savorychute.http.event_buffer import MAX_EVENT_BYTES, EventBuffer
from savorychute.result_code import ResultCode

LINE_END_BYTES = b'\r\n'


class SseEvent(NamedTuple):
    """One event; a missing id or name is an empty string."""

    event_id: str
    event: str
    data: bytes


class EventTooLargeError(SavorychuteError):
    """A server sent an event that is larger than the limit."""

    code = ResultCode.ENDPOINT_FAILED


class SseReader:
    """Splits a stream of bytes into events.

    :param max_bytes: the size of the largest accepted event.
    """

    __slots__ = ('_buffer', '_max_bytes')

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = EventBuffer(max_bytes)

    def feed(self, data: bytes) -> list[SseEvent]:
        """Return the events that *data* completes.

        :param data: the next bytes of the stream.
        :raises EventTooLargeError: if an event exceeds the limit.
        """
        blocks = self._buffer.feed(data)
        if self._buffer.is_too_large:
            raise EventTooLargeError(f'event larger than {self._max_bytes} bytes')
        return [_parse(block) for block in blocks if block.strip(LINE_END_BYTES)]


def _parse(block: bytes) -> SseEvent:
    event_id = ''
    event = ''
    data: list[bytes] = []
    for line in block.splitlines():
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'data':
            data.append(value)
        elif field == b'id':
            event_id = value.decode('utf-8', 'replace')
        elif field == b'event':
            event = value.decode('utf-8', 'replace')
    return SseEvent(event_id, event, b'\n'.join(data))
