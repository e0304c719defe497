"""Non-blocking writer of log lines."""

from __future__ import annotations

import io
import os
import select
from collections import deque
from typing import IO, Any

import msgspec

MAX_BUFFERED_BYTES = 1 << 20
DROPPED_EVENT = 'log-lines-dropped'


class LogWriter:
    """A destination for eliot's messages.

    If the reader of the log stops (a full pipe, a paused terminal), a blocking
    write would stall the only thread, and the instance with all of its streams
    would appear dead to its peers.  A line is therefore written only if that does
    not block.  Other lines are buffered in memory up to a limit and dropped beyond
    it; the first line written afterwards contains the number of dropped lines.

    A pipe that polls as writable accepts ``PIPE_BUF`` bytes without blocking
    (POSIX, ``write``), so longer lines are dropped.

    :param file: a file opened in binary mode.
    :param max_buffered_bytes: the maximum size of the buffered lines.
    """

    def __init__(
        self, file: IO[bytes], max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self._file = file
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        self._poll = _make_poll(file)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write, buffer or drop a message.

        :param message: the fields of one line.
        """
        self._enqueue(_encode(message))
        self.flush()

    def flush(self) -> None:
        """Write buffered lines as long as the file does not block."""
        while self._buffered and self._is_writable():
            line = self._buffered.popleft()
            self._buffered_bytes -= len(line)
            if not self._write(line):
                self.dropped += 1
        if self.dropped and not self._buffered and self._is_writable():
            notice = {'message_type': DROPPED_EVENT, 'count': self.dropped}
            if self._write(_encode(notice)):
                self.dropped = 0

    def _enqueue(self, line: bytes) -> None:
        is_too_long = len(line) > select.PIPE_BUF
        if is_too_long or self._buffered_bytes + len(line) > self._max_buffered_bytes:
            self.dropped += 1
            return
        self._buffered.append(line)
        self._buffered_bytes += len(line)

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))

    def _write(self, line: bytes) -> bool:
        """Write a line; return False if the file no longer accepts data."""
        try:
            if self._poll is None:
                self._file.write(line)
            else:
                os.write(self._file.fileno(), line)
        except OSError:
            # For example a closed pipe or a full disk.  The instance must
            # continue to run without a log.
            return False
        return True


def _make_poll(file: IO[bytes]) -> select.poll | None:
    """Return a poll object for the file, or None for a file in memory."""
    try:
        descriptor = file.fileno()
    except io.UnsupportedOperation:
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll


def _encode(message: dict[str, Any]) -> bytes:
    # Writes only the type of an unknown object, as its text could contain secrets.
    return (
        msgspec.json.encode(message, enc_hook=lambda value: type(value).__name__)
        + b'\n'
    )
