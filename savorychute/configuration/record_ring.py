"""Recent records, kept for other instances."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, cast

from savorychute.configuration.pushed_record import PushedRecord
from savorychute.configuration.record_codec import decode_record, encode_record
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

if TYPE_CHECKING:
    from savorychute.inputs.log_record import LogRecord

RECORD_OVERHEAD_BYTES = 128
"""Rough cost of keeping a record besides its payload."""


class RecordRing:
    """The last records by offset, without gaps, up to a bound of bytes.

    :param max_bytes: how much to keep.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._records: deque[PushedRecord] = deque()

    def add(self, record: LogRecord) -> None:
        """Keep a record; the oldest go when the bound is passed.

        :param record: the one that was folded last.
        """
        if self._records and record.offset != self._records[-1].offset + 1:
            self.clear()
        kept = PushedRecord(record.offset, _trim(record.payload))
        self._records.append(kept)
        self._bytes += _cost(kept)
        while self._bytes > self._max_bytes:
            self._bytes -= _cost(self._records.popleft())

    def clear(self) -> None:
        """Forget all records."""
        self._records.clear()
        self._bytes = 0

    def covers(self, after_offset: int) -> bool:
        """Return whether the record that follows *after_offset* is kept."""
        if not self._records:
            return False
        first, last = self._records[0].offset, self._records[-1].offset
        return first <= after_offset + 1 <= last

    def take_after(self, after_offset: int, max_bytes: int) -> list[PushedRecord]:
        """Return records that follow *after_offset*, at least one if kept.

        :param after_offset: the offset before the first one.
        :param max_bytes: how many bytes of payload to stop at.
        """
        if not self.covers(after_offset):
            return []
        start = after_offset + 1 - self._records[0].offset
        taken: list[PushedRecord] = []
        total = 0
        for position in range(start, len(self._records)):
            record = self._records[position]
            total += _cost(record)
            if taken and total > max_bytes:
                break
            taken.append(record)
        return taken


def _cost(record: PushedRecord) -> int:
    return len(record.payload) + RECORD_OVERHEAD_BYTES


def _trim(payload: bytes) -> bytes:
    """Return what another instance needs to fold the record alike.

    A snapshot changes nothing for one that follows record by record, and
    unreadable bytes are as unreadable when empty.
    """
    decoded = decode_record(payload)
    if decoded is None:
        return b''
    if decoded['kind'] != SNAPSHOT_KIND:
        return payload
    snapshot = cast('SnapshotRecord', decoded)
    return encode_record(SnapshotRecord(**{**snapshot, 'data': b''}))
