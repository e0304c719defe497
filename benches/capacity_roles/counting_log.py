"""A log in memory, shared by all instances of a measurement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord

if TYPE_CHECKING:
    from savorychute.actions import AppendRecord, ReadRecords


class CountingLog:
    """Executes each operation at once and counts the operations."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.appends = 0
        self.reads = 0
        self.read_bytes = 0

    def append(self, action: AppendRecord) -> AppendFinished:
        """Append a record.

        :param action: the record and its stream.
        """
        records = self.streams.setdefault(action.stream, [])
        records.append(action.payload)
        self.appends += 1
        offset = len(records) - 1
        return AppendFinished(action.append_id, action.stream, 'appended', offset)

    def read(self, action: ReadRecords) -> RecordsRead:
        """Return records.

        :param action: the first offset and the maximum number of records.
        """
        records = self.streams.get(action.stream, [])
        start = max(0, action.from_offset)
        payloads = records[start : start + action.max_records]
        self.reads += 1
        self.read_bytes += sum(len(payload) for payload in payloads)
        return RecordsRead(
            action.stream,
            ok=True,
            records=tuple(
                LogRecord(start + position, record)
                for position, record in enumerate(payloads)
            ),
            end_offset=len(records),
        )

    def reset_counts(self) -> None:
        """Reset all counts to 0."""
        self.appends = 0
        self.reads = 0
        self.read_bytes = 0
