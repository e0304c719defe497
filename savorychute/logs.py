"""Logs as JSON lines, in which no token and no prompt can appear.

A line has the fields of eliot (``timestamp``, ``task_uuid``, ``task_level``,
``message_type``), then ``level``, ``instance``, ``request_id`` and those of
:data:`savorychute.log_fields.FIELDS` that the event has.  Three guards keep secrets out:

* A field that is not in the table is dropped: no field carries a body, a
  header, a query or the text of a foreign exception.
* A string is kept only if it looks like an identifier: prompt text has blanks.
* A string whose SHA-256 is a known token's digest is dropped, so that a
  token sent as, say, the name of a class stays out too.
"""

from __future__ import annotations

import hashlib
import logging
import re
from contextlib import contextmanager
from enum import IntEnum
from typing import IO, TYPE_CHECKING

import eliot
from eliot import add_destinations, remove_destination

from savorychute.log_fields import FIELDS
from savorychute.log_writer import LogWriter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

Value = str | int | float | bool | None

IDENTIFIER = re.compile(r'[A-Za-z0-9_.:/@+=,#-]{0,128}')
REMOVED = '<removed>'


class LogLevel(IntEnum):
    """How much a line matters."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class InstanceLog:
    """What one instance logs.

    :param instance: the instance's name, on every line.
    :param level: the least severe level that is written.
    """

    def __init__(self, instance: str, level: LogLevel = LogLevel.INFO) -> None:
        self.instance = instance
        self.level = level
        self._token_hashes: frozenset[str] = frozenset()

    def protect(self, token_hashes: Iterable[str]) -> None:
        """Replace the digests of tokens that must not appear.

        :param token_hashes: SHA-256 in hex, of organisations and operators.
        """
        self._token_hashes = frozenset(token_hashes)

    def debug(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log a step that matters only when a defect is sought."""
        self.write(LogLevel.DEBUG, event, request_id, **fields)

    def info(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log something that operators follow."""
        self.write(LogLevel.INFO, event, request_id, **fields)

    def warning(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log something that may need an operator."""
        self.write(LogLevel.WARNING, event, request_id, **fields)

    def error(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log a failure of the instance itself."""
        self.write(LogLevel.ERROR, event, request_id, **fields)

    def write(
        self, level: LogLevel, event: str, request_id: str = '', **fields: Value
    ) -> None:
        """Log one line.

        :param level: how much it matters.
        :param event: a constant name, the line's ``message_type``.
        :param request_id: the request that it belongs to, or empty.
        :param fields: those of :data:`savorychute.log_fields.FIELDS`; others are dropped.
        """
        if level < self.level:
            return
        kept = {
            name: self._clean(value) for name, value in fields.items() if name in FIELDS
        }
        eliot.log_message(
            message_type=event,
            level=level.name.lower(),
            instance=self.instance,
            request_id=self._clean(request_id),
            **kept,
        )

    def _clean(self, value: Value) -> Value:
        if not isinstance(value, str):
            # Bytes or an object would be written by its text: refuse both.
            return value if isinstance(value, int | float | None) else REMOVED
        if not IDENTIFIER.fullmatch(value):
            return REMOVED
        if self._token_hashes:
            digest = hashlib.sha256(value.encode()).hexdigest()
            if digest in self._token_hashes:
                return REMOVED
        return value


class LibraryHandler(logging.Handler):
    """Passes on what libraries log, without its text.

    The text of asyncio's reports holds the representations of callbacks and
    exceptions, and with them pieces of requests.

    :param log: where the lines go.
    """

    def __init__(self, log: InstanceLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log the library, the level and the type of the exception."""
        kind = record.exc_info[0] if record.exc_info else None
        level = min(max(record.levelno // 10 * 10, LogLevel.DEBUG), LogLevel.ERROR)
        self._log.write(
            LogLevel(level),
            'library-logged',
            logger=record.name,
            error=kind.__name__ if kind else '',
        )


@contextmanager
def open_log(file: IO[bytes]) -> Iterator[None]:
    """Write the lines of all instances of this process to *file*.

    :param file: open for bytes; stays open.
    """
    destination = LogWriter(file)
    add_destinations(destination)
    try:
        yield
    finally:
        remove_destination(destination)
        destination.flush()


@contextmanager
def capture_libraries(log: InstanceLog) -> Iterator[None]:
    """Pass what libraries log through *log* instead of standard error."""
    handler = LibraryHandler(log)
    root = logging.getLogger()
    before = root.handlers[:]
    root.handlers[:] = [handler]
    try:
        yield
    finally:
        root.handlers[:] = before
