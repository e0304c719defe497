"""The audit trail of one instance."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec

from savorychute.actions.append_record import AppendRecord
from savorychute.actions.operator_reply import OperatorReply
from savorychute.audit.audit_query import AuditQuery
from savorychute.audit.audit_record import (
    AUDIT_STREAM,
    AuditRecord,
    encode_audit_record,
)
from savorychute.audit.audit_search import AuditSearch
from savorychute.audit.recorded_entry import NOT_IN_LOG, RecordedEntry
from savorychute.configuration.log_budget import LogBudget, LogBudgetSettings
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.audit.audit_entry import AuditEntry
    from savorychute.audit.audit_settings import AuditSettings
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.inputs.records_read import RecordsRead

AUDIT_APPEND_PREFIX = 'audit:'


class AuditTrail:
    """Keeps recent entries, and writes the lasting ones to the log in batches.

    :param settings: limits and delays.
    :param instance: this instance's name and incarnation.
    :param budget: the append budget of this instance; None creates a separate one.
    """

    def __init__(
        self,
        settings: AuditSettings,
        instance: str,
        budget: LogBudget | None = None,
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._budget = budget or LogBudget(LogBudgetSettings())
        self._recorded: deque[RecordedEntry] = deque(maxlen=settings.max_entries)
        self._pending: deque[RecordedEntry] = deque()
        self._pending_since_ms = 0
        self._sent: list[RecordedEntry] = []
        self._sent_ms = 0
        self._batches = 0
        self._sequence = 0
        self._retry_at_ms = 0
        self._searches: deque[AuditSearch] = deque()
        self._read_ms: int | None = None
        self.dropped = 0

    def record(self, entry: AuditEntry, now_ms: int) -> None:
        """Record an entry.

        During a long outage of the log, the oldest waiting entries are dropped from
        the batch queue and counted; in memory they are kept like all other entries.

        :param entry: the entry.
        """
        self._sequence += 1
        at_ms = now_ms + self._settings.epoch_offset_ms
        recorded = RecordedEntry(entry, self._instance, self._sequence, at_ms)
        self._recorded.append(recorded)
        if not entry.lasting:
            return
        if not self._pending:
            self._pending_since_ms = now_ms
        self._pending.append(recorded)
        if len(self._pending) > self._settings.max_pending:
            self._pending.popleft()
            self.dropped += 1

    def tick(self, now_ms: int) -> list[Action]:
        """Return the next append and the next read of a search, if they are due."""
        return [*self._append_batch(now_ms), *self._continue_search(now_ms)]

    def query(
        self, item: str = '', operator: str = '', since_offset: int = 0
    ) -> list[RecordedEntry]:
        """Return the matching entries in this instance's memory, oldest first.

        :param item: restricts the result to this item, if not empty.
        :param operator: restricts the result to this operator, if not empty.
        :param since_offset: restricts the result to entries from this log offset on.
        """
        audit_query = AuditQuery(item, operator, since_offset)
        return [
            recorded for recorded in self._recorded if audit_query.matches(recorded)
        ]

    def start_search(
        self, command_id: str, query: AuditQuery, now_ms: int
    ) -> list[Action]:
        """Start a search of the log, which ends with one ``OperatorReply``.

        :param command_id: the id of the operator's command.
        :param query: the filter.
        """
        self._searches.append(AuditSearch(command_id, query, self._settings))
        return self._continue_search(now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Handle a response of the log.

        :param read: the response; responses for other streams are ignored.
        """
        if read.stream != AUDIT_STREAM or not self._searches:
            return []
        self._read_ms = None
        search = self._searches[0]
        if read.ok and not search.handle_response(read):
            return self._continue_search(now_ms)
        self._searches.popleft()
        code = ResultCode.OK if read.ok else ResultCode.LOG_UNAVAILABLE
        return [self._build_reply(search, code), *self._continue_search(now_ms)]

    def append_finished(self, finished: AppendFinished, now_ms: int) -> list[Action]:
        """Handle the outcome of an append.

        A batch whose response was lost is sent again with the same id, so it may be
        in the log twice; a search returns each entry once.

        :param finished: the outcome; outcomes of other components are ignored.
        """
        if not self._sent or finished.append_id != self._batch_id():
            return []
        if finished.outcome != 'appended':
            self._sent_ms = 0
            self._retry_at_ms = now_ms + self._settings.retry_ms
            return []
        self._record_offsets(finished.offset)
        self._sent = []
        return []

    def _append_batch(self, now_ms: int) -> list[Action]:
        if now_ms < self._retry_at_ms:
            return []
        if not self._sent and not self._start_batch(now_ms):
            return []
        if self._sent_ms and now_ms - self._sent_ms < self._settings.retry_ms:
            return []
        if not self._budget.acquire('audit', now_ms):
            return []
        self._sent_ms = now_ms
        record = AuditRecord(batch_id=self._batch_id(), entries=self._sent)
        return [
            AppendRecord(self._batch_id(), AUDIT_STREAM, encode_audit_record(record))
        ]

    def _start_batch(self, now_ms: int) -> bool:
        is_full = len(self._pending) >= self._settings.batch_entries
        is_late = now_ms - self._pending_since_ms >= self._settings.batch_delay_ms
        if not self._pending or not (is_full or is_late):
            return False
        count = min(len(self._pending), self._settings.batch_entries)
        self._sent = [self._pending.popleft() for _ in range(count)]
        self._pending_since_ms = now_ms
        self._sent_ms = 0
        self._batches += 1
        return True

    def _batch_id(self) -> str:
        return f'{AUDIT_APPEND_PREFIX}{self._instance}:{self._batches}'

    def _record_offsets(self, offset: int) -> None:
        """Record the log offset of the batch's entries in memory."""
        sequences = {recorded.sequence for recorded in self._sent}
        for position, recorded in enumerate(self._recorded):
            if recorded.offset == NOT_IN_LOG and recorded.sequence in sequences:
                self._recorded[position] = recorded._replace(offset=offset)

    def _continue_search(self, now_ms: int) -> list[Action]:
        if not self._searches:
            return []
        if self._read_ms is not None:
            if now_ms - self._read_ms < self._settings.read_timeout_ms:
                return []
            self._read_ms = None
            search = self._searches.popleft()
            return [self._build_reply(search, ResultCode.LOG_UNAVAILABLE)]
        self._read_ms = now_ms
        return [self._searches[0].read()]

    def _matching_entries(self, search: AuditSearch) -> list[RecordedEntry]:
        """Return this instance's entries that match a search.

        If the result is full it ends in the middle of the stream; later entries
        belong to the next search.
        """
        matching = self.query(*search.query)
        if not search.results or search.end_reached:
            return matching
        return [each for each in matching if each.offset < search.next_offset]

    def _build_reply(self, search: AuditSearch, code: ResultCode) -> OperatorReply:
        """Return the reply with entries of the log and of this instance's memory."""
        unique = {
            (recorded.instance, recorded.sequence): recorded
            for recorded in [*self._matching_entries(search), *search.results]
        }
        entries = sorted(unique.values(), key=_sort_key)
        document: dict[str, Any] = {
            'entries': [_to_document(recorded) for recorded in entries],
            'next_offset': search.next_offset,
            'complete': search.end_reached,
        }
        return OperatorReply(search.command_id, msgspec.json.encode(document), code)


def _sort_key(recorded: RecordedEntry) -> tuple[int, str, int]:
    return recorded.at_ms, recorded.instance, recorded.sequence


def _to_document(recorded: RecordedEntry) -> dict[str, Any]:
    entry = recorded.entry._asdict()
    del entry['lasting']
    return {
        **entry,
        'instance': recorded.instance,
        'at_ms': recorded.at_ms,
        'offset': recorded.offset,
    }
