"""Writes log lines without ever waiting for whoever reads them."""

from __future__ import annotations

import io
import os
import select
from collections import deque
from typing import IO, Any

import msgspec

MAX_WAITING_BYTES = 1 << 20
DROPPED_EVENT = 'log-lines-dropped'


class LogWriter:
    """A destination of eliot's messages.

    The reader of the log may stop: a full pipe, a paused terminal.  A write
    would then hold up the only thread, and the instance with all of its
    streams would look dead to its peers.  So a line is written only when the
    file takes it at once; up to a bound lines wait in memory, beyond it they
    are dropped, and the first line that gets through again says how many.

    A pipe that polls as writable takes ``PIPE_BUF`` bytes without waiting
    (POSIX, ``write``), so no line is longer than that.

    :param file: open for bytes.
    :param max_waiting_bytes: how much waits in memory.
    """

    def __init__(
        self, file: IO[bytes], max_waiting_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        self._file = file
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        self._poll = _make_poll(file)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or keep it, or count it as dropped.

        :param message: the fields of one line.
        """
        self._put(_encode(message))
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the file takes it at once."""
        while self._waiting and self._is_writable():
            line = self._waiting.popleft()
            self._waiting_bytes -= len(line)
            if not self._write(line):
                self.dropped += 1
        if self.dropped and not self._waiting and self._is_writable():
            notice = {'message_type': DROPPED_EVENT, 'count': self.dropped}
            if self._write(_encode(notice)):
                self.dropped = 0

    def _put(self, line: bytes) -> None:
        too_long = len(line) > select.PIPE_BUF
        if too_long or self._waiting_bytes + len(line) > self._max_waiting_bytes:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))

    def _write(self, line: bytes) -> bool:
        """Write a line; return false if nobody will ever read it."""
        try:
            if self._poll is None:
                self._file.write(line)
            else:
                os.write(self._file.fileno(), line)
        except OSError:
            # A closed pipe, a full disk.  The instance goes on without a log
            # rather than not at all.
            return False
        return True


def _make_poll(file: IO[bytes]) -> select.poll | None:
    """Return a poll of the file, or None for one in memory."""
    try:
        number = file.fileno()
    except io.UnsupportedOperation:
        return None
    poll = select.poll()
    poll.register(number, select.POLLOUT)
    return poll


def _encode(message: dict[str, Any]) -> bytes:
    # An unknown object is written by its type: its text could hold anything.
    return (
        msgspec.json.encode(message, enc_hook=lambda value: type(value).__name__)
        + b'\n'
    )
