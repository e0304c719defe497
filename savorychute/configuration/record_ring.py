"""Ring buffer of recent records for other instances."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, cast

from savorychute.configuration.pushed_record import PushedRecord
from savorychute.configuration.record_codec import decode_record, encode_record
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

if TYPE_CHECKING:
    from savorychute.inputs.log_record import LogRecord

RECORD_OVERHEAD_BYTES = 128
"""Approximate memory of a retained record in addition to its payload."""


class RecordRing:
    """The most recent records without gaps, up to a limit in bytes.

    :param max_bytes: the limit, including :data:`RECORD_OVERHEAD_BYTES` per record.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._records: deque[PushedRecord] = deque()

    def add(self, record: LogRecord) -> None:
        """Add a record, and remove the oldest ones beyond the limit.

        :param record: the record that was folded last.
        """
        if self._records and record.offset != self._records[-1].offset + 1:
            self.clear()
        retained = PushedRecord(record.offset, _trim(record.payload))
        self._records.append(retained)
        self._bytes += _size_bytes(retained)
        while self._bytes > self._max_bytes:
            self._bytes -= _size_bytes(self._records.popleft())

    def clear(self) -> None:
        """Remove all records."""
        self._records.clear()
        self._bytes = 0

    def covers(self, after_offset: int) -> bool:
        """Return whether the record that follows *after_offset* is retained."""
        if not self._records:
            return False
        first_offset, last_offset = self._records[0].offset, self._records[-1].offset
        return first_offset <= after_offset + 1 <= last_offset

    def read_after(self, after_offset: int, max_bytes: int) -> list[PushedRecord]:
        """Return records that follow *after_offset*, at least one if it is retained.

        :param after_offset: the offset before the first record.
        :param max_bytes: the limit in bytes beyond which no further record is added.
        """
        if not self.covers(after_offset):
            return []
        start = after_offset + 1 - self._records[0].offset
        selected: list[PushedRecord] = []
        total_bytes = 0
        for position in range(start, len(self._records)):
            record = self._records[position]
            total_bytes += _size_bytes(record)
            if selected and total_bytes > max_bytes:
                break
            selected.append(record)
        return selected


def _size_bytes(record: PushedRecord) -> int:
    return len(record.payload) + RECORD_OVERHEAD_BYTES


def _trim(payload: bytes) -> bytes:
    """Reduce a payload to what another instance needs to fold the record identically.

    A snapshot has no effect on an instance that follows record by record, so its
    data is left out.  Unreadable bytes are equally unreadable when empty.
    """
    decoded = decode_record(payload)
    if decoded is None:
        return b''
    if decoded['kind'] != SNAPSHOT_KIND:
        return payload
    snapshot = cast('SnapshotRecord', decoded)
    return encode_record(SnapshotRecord(**{**snapshot, 'data': b''}))
