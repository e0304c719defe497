"""Logs as JSON lines that never contain tokens or prompts.

A line has the fields of eliot (``timestamp``, ``task_uuid``, ``task_level``,
``message_type``), then ``level``, ``instance``, ``request_id`` and the event's
fields, which must be in :data:`savorychute.log_fields.FIELDS`.  Three checks keep
secrets out:

* A field that is not in the table is dropped: no field contains a body, a
  header, a query or the text of an exception from other code.
* A string is removed unless it looks like an identifier: prompts contain blanks.
* A string whose SHA-256 is the digest of a known token is removed, for example a
  token that was sent as the name of a class.
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
    """The severity of a line."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class InstanceLog:
    """The log of one instance.

    :param instance: the instance's name, included in every line.
    :param level: the least severe level that is written.
    """

    def __init__(self, instance: str, level: LogLevel = LogLevel.INFO) -> None:
        self.instance = instance
        self.level = level
        self._token_hashes: frozenset[str] = frozenset()

    def set_token_hashes(self, token_hashes: Iterable[str]) -> None:
        """Set the digests of tokens that must not appear in the log.

        :param token_hashes: hex SHA-256 digests of the tokens of organisations and
            operators; they replace the previous ones.
        """
        self._token_hashes = frozenset(token_hashes)

    def debug(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log a step that is only relevant for debugging."""
        self.write(LogLevel.DEBUG, event, request_id, **fields)

    def info(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log an event of normal operation."""
        self.write(LogLevel.INFO, event, request_id, **fields)

    def warning(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log an event that may require an operator's attention."""
        self.write(LogLevel.WARNING, event, request_id, **fields)

    def error(self, event: str, request_id: str = '', **fields: Value) -> None:
        """Log a failure of the instance itself."""
        self.write(LogLevel.ERROR, event, request_id, **fields)

    def write(
        self, level: LogLevel, event: str, request_id: str = '', **fields: Value
    ) -> None:
        """Log one line.

        :param level: the severity.
        :param event: a constant name, the line's ``message_type``.
        :param request_id: the request that the event belongs to, or empty.
        :param fields: fields of :data:`~savorychute.log_fields.FIELDS`; others are
            dropped.
        """
        if level < self.level:
            return
        cleaned = {
            name: self._clean(value) for name, value in fields.items() if name in FIELDS
        }
        eliot.log_message(
            message_type=event,
            level=level.name.lower(),
            instance=self.instance,
            request_id=self._clean(request_id),
            **cleaned,
        )

    def _clean(self, value: Value) -> Value:
        if not isinstance(value, str):
            # Bytes and other objects would be written as text, so they are removed.
            return value if isinstance(value, int | float | None) else REMOVED
        if not IDENTIFIER.fullmatch(value):
            return REMOVED
        if self._token_hashes:
            digest = hashlib.sha256(value.encode()).hexdigest()
            if digest in self._token_hashes:
                return REMOVED
        return value


class LibraryLogHandler(logging.Handler):
    """Forwards log records of libraries without their text.

    The text of asyncio's records contains representations of callbacks and
    exceptions, which may include parts of requests.

    :param log: the log to write to.
    """

    def __init__(self, log: InstanceLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log the library's name, the level and the type of the exception."""
        exception_type = record.exc_info[0] if record.exc_info else None
        level = min(max(record.levelno // 10 * 10, LogLevel.DEBUG), LogLevel.ERROR)
        self._log.write(
            LogLevel(level),
            'library-logged',
            logger=record.name,
            error=exception_type.__name__ if exception_type else '',
        )


@contextmanager
def open_log(file: IO[bytes]) -> Iterator[None]:
    """Write the log lines of all instances of this process to *file*.

    :param file: a file opened in binary mode; it is not closed.
    """
    destination = LogWriter(file)
    add_destinations(destination)
    try:
        yield
    finally:
        remove_destination(destination)
        destination.flush()


@contextmanager
def capture_library_logs(log: InstanceLog) -> Iterator[None]:
    """Write log records of libraries to *log* instead of standard error."""
    handler = LibraryLogHandler(log)
    root = logging.getLogger()
    previous_handlers = root.handlers[:]
    root.handlers[:] = [handler]
    try:
        yield
    finally:
        root.handlers[:] = previous_handlers
