"""Buffer that divides a stream of server-sent events into its events.

The HTML standard, section "Server-sent events", ends an event by a blank line; a line
ends with CRLF, LF or CR.
"""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
LINE_END = rb'(?>\r\n|\n|\r)'
EVENT_END = re.compile(LINE_END + LINE_END)
LF_EVENT_END = b'\n\n'
# At the end of the buffer, so many bytes may be the first part of an event's end.
MAX_PARTIAL_END_BYTES = 2


class EventBuffer:
    """Returns the bytes of each complete event, including its end.

    Each byte is searched once, because an endpoint that sends a long event in many
    small pieces would otherwise delay all other streams of the process.

    :param max_bytes: the size of the largest accepted event.
    """

    __slots__ = (
        '_buffer',
        '_ends_with_cr',
        '_has_cr',
        '_max_bytes',
        '_searched',
        'is_too_large',
    )

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        # Number of buffered bytes that hold no end of an event.
        self._searched = 0
        self._ends_with_cr = False
        # Whether the stream has contained a CR.
        self._has_cr = False
        # Set by an event above the limit; it and all further bytes are discarded.
        self.is_too_large = False

    @property
    def partial_bytes(self) -> int:
        """The number of buffered bytes of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete with these bytes.

        :param data: the next bytes of the stream.
        """
        if self.is_too_large or not data:
            return []
        if self._ends_with_cr and data.startswith(b'\n'):
            # The second half of a CRLF whose CR already ended the event.
            data = data[1:]
        self._ends_with_cr = False
        self._has_cr = self._has_cr or b'\r' in data
        self._buffer += data
        events = self._take_events()
        if len(self._buffer) > self._max_bytes:
            self._discard()
        return events

    def _take_events(self) -> list[bytes]:
        events: list[bytes] = []
        start = 0
        while (end := self._find_end(max(start, self._searched))) is not None:
            if end - start > self._max_bytes:
                self._discard()
                return events
            events.append(bytes(self._buffer[start:end]))
            start = end
        self._ends_with_cr = start == len(self._buffer) and self._buffer.endswith(b'\r')
        if self._ends_with_cr and events[-1].endswith(b'\n\r'):
            # Not all parsers end a line by CR alone, so the LF is not left out.
            events[-1] += b'\n'
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - MAX_PARTIAL_END_BYTES)
        return events

    def _find_end(self, start: int) -> int | None:
        if self._has_cr:
            match = EVENT_END.search(self._buffer, start)
            return None if match is None else match.end()
        # Faster, for the streams of most servers.
        position = self._buffer.find(LF_EVENT_END, start)
        return None if position < 0 else position + len(LF_EVENT_END)

    def _discard(self) -> None:
        self.is_too_large = True
        self._buffer.clear()
