"""Reading server-sent events.

The format is that of the HTML standard, section "Server-sent events"; only
``id``, ``event`` and ``data`` are read.
"""

from __future__ import annotations

from typing import NamedTuple

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode

EVENT_BOUND_BYTES = 1024 * 1024
EVENT_END = b'\n\n'


class SseEvent(NamedTuple):
    """One event; an id or a name that is missing is empty."""

    event_id: str
    event: str
    data: bytes


class EventTooLargeError(SavorychuteError):
    """A server sent an event beyond the bound."""

    code = ResultCode.ENDPOINT_FAILED


class SseReader:
    """Cuts a stream of bytes into events.

    :param bound_bytes: the largest event taken.
    """

    __slots__ = ('_bound_bytes', '_buffer')

    def __init__(self, bound_bytes: int = EVENT_BOUND_BYTES) -> None:
        self._bound_bytes = bound_bytes
        self._buffer = b''

    def feed(self, data: bytes) -> list[SseEvent]:
        """Return the events that *data* completes.

        :param data: the next bytes of the stream.
        :raises EventTooLargeError: if an event passes the bound.
        """
        buffer = self._buffer + data
        if b'\r' in buffer:
            buffer = _unify_line_ends(buffer)
        *blocks, self._buffer = buffer.split(EVENT_END)
        if len(self._buffer) > self._bound_bytes:
            raise EventTooLargeError(f'event larger than {self._bound_bytes} bytes')
        return [_parse(block) for block in blocks if block]


def _unify_line_ends(data: bytes) -> bytes:
    """Turn CRLF into LF, leaving a last CR whose LF may still come."""
    return data.replace(b'\r\n', b'\n')


def _parse(block: bytes) -> SseEvent:
    event_id = ''
    event = ''
    data: list[bytes] = []
    for line in block.split(b'\n'):
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'data':
            data.append(value)
        elif field == b'id':
            event_id = value.decode('utf-8', 'replace')
        elif field == b'event':
            event = value.decode('utf-8', 'replace')
    return SseEvent(event_id, event, b'\n'.join(data))
