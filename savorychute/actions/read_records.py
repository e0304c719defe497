"""Read records of the platform's log."""

from __future__ import annotations

from typing import NamedTuple


class ReadRecords(NamedTuple):
    """Read from *from_offset* on; the host delivers ``RecordsRead``."""

    stream: str
    from_offset: int
    max_records: int
