"""An operator's search of the audit stream in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.read_records import ReadRecords
from savorychute.audit.audit_record import AUDIT_STREAM, decode_audit_record

if TYPE_CHECKING:
    from savorychute.audit.audit_query import AuditQuery
    from savorychute.audit.audit_settings import AuditSettings
    from savorychute.audit.recorded_entry import RecordedEntry
    from savorychute.inputs.records_read import RecordsRead


class AuditSearch:
    """Reads the stream until its end, or until the result is full.

    :param command_id: the id of the operator's command.
    :param query: the filter.
    :param settings: the sizes of reads and of the result.
    """

    def __init__(
        self, command_id: str, query: AuditQuery, settings: AuditSettings
    ) -> None:
        self.command_id = command_id
        self.query = query
        self.results: list[RecordedEntry] = []
        self.end_reached = False
        self._settings = settings
        self.next_offset = max(0, query.since_offset)

    def read(self) -> ReadRecords:
        """Return the action for the next read."""
        return ReadRecords(AUDIT_STREAM, self.next_offset, self._settings.read_records)

    def handle_response(self, read: RecordsRead) -> bool:
        """Handle a response of the log, and return whether the search is finished.

        :param read: the response.
        """
        before = self.next_offset
        self.next_offset = max(self.next_offset, read.first_offset)
        for record in read.records:
            if record.offset != self.next_offset:
                continue
            self.next_offset += 1
            self._collect_matches(record.offset, record.payload)
            if len(self.results) >= self._settings.max_results:
                return True
        self.end_reached = self.next_offset >= read.end_offset
        is_stuck = self.next_offset == before
        return self.end_reached or is_stuck

    def _collect_matches(self, offset: int, payload: bytes) -> None:
        record = decode_audit_record(payload)
        if record is None:
            return
        for recorded in record['entries']:
            located = recorded._replace(offset=offset)
            if self.query.matches(located):
                self.results.append(located)
