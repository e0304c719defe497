"""Records of the platform's log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.inputs.log_record import LogRecord


class RecordsRead(NamedTuple):
    """The answer to a read; ``ok`` is false when the log did not answer.

    ``first_offset`` is the oldest offset still kept, ``end_offset`` the one
    that the next append will get.
    """

    stream: str
    ok: bool
    records: tuple[LogRecord, ...] = ()
    first_offset: int = 0
    end_offset: int = 0
