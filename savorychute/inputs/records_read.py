"""Records of the platform's log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.inputs.log_record import LogRecord


class RecordsRead(NamedTuple):
    """The result of a read; ``ok`` is false if the log did not respond.

    ``first_offset`` is the oldest retained offset, ``end_offset`` the offset of
    the next append.
    """

    stream: str
    ok: bool
    records: tuple[LogRecord, ...] = ()
    first_offset: int = 0
    end_offset: int = 0
