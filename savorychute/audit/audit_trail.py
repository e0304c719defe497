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

    :param settings: bounds and times.
    :param instance: this instance's name, with what tells its runs apart.
    :param budget: the appends of this instance; None for one of its own.
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
        """Take in an entry.

        When the log is down for long, the oldest waiting entries are dropped
        and counted; they stay in memory for as long as the others.

        :param entry: what happened.
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
        """Return a batch to append and a search to go on with, if due."""
        return [*self._append_batch(now_ms), *self._read_on(now_ms)]

    def query(
        self, item: str = '', operator: str = '', since_offset: int = 0
    ) -> list[RecordedEntry]:
        """Return the matching entries that this instance keeps, oldest first.

        :param item: only entries about this item, if not empty.
        :param operator: only entries of this operator, if not empty.
        :param since_offset: only entries from this log offset on.
        """
        wanted = AuditQuery(item, operator, since_offset)
        return [recorded for recorded in self._recorded if wanted.matches(recorded)]

    def request(self, command_id: str, query: AuditQuery, now_ms: int) -> list[Action]:
        """Search the log for an operator; it ends in one ``OperatorReply``.

        :param command_id: the operator's command.
        :param query: what is asked for.
        """
        self._searches.append(AuditSearch(command_id, query, self._settings))
        return self._read_on(now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Take in an answer of the log.

        :param read: the answer; those of other streams are left alone.
        """
        if read.stream != AUDIT_STREAM or not self._searches:
            return []
        self._read_ms = None
        search = self._searches[0]
        if read.ok and not search.take(read):
            return self._read_on(now_ms)
        self._searches.popleft()
        code = ResultCode.OK if read.ok else ResultCode.LOG_UNAVAILABLE
        return [self._answer(search, code), *self._read_on(now_ms)]

    def append_finished(self, finished: AppendFinished, now_ms: int) -> list[Action]:
        """Take in the outcome of an append.

        A batch whose reply was lost is sent again with its id, so that it may
        be in the log twice; a search shows an entry once.

        :param finished: the outcome; those of other parts are left alone.
        """
        if not self._sent or finished.append_id != self._batch_id():
            return []
        if finished.outcome != 'appended':
            self._sent_ms = 0
            self._retry_at_ms = now_ms + self._settings.retry_ms
            return []
        self._place(finished.offset)
        self._sent = []
        return []

    def _append_batch(self, now_ms: int) -> list[Action]:
        if now_ms < self._retry_at_ms:
            return []
        if not self._sent and not self._take_batch(now_ms):
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

    def _take_batch(self, now_ms: int) -> bool:
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

    def _place(self, offset: int) -> None:
        """Note in memory where the batch's entries are in the log."""
        sequences = {recorded.sequence for recorded in self._sent}
        for position, recorded in enumerate(self._recorded):
            if recorded.offset == NOT_IN_LOG and recorded.sequence in sequences:
                self._recorded[position] = recorded._replace(offset=offset)

    def _read_on(self, now_ms: int) -> list[Action]:
        if not self._searches:
            return []
        if self._read_ms is not None:
            if now_ms - self._read_ms < self._settings.read_timeout_ms:
                return []
            self._read_ms = None
            search = self._searches.popleft()
            return [self._answer(search, ResultCode.LOG_UNAVAILABLE)]
        self._read_ms = now_ms
        return [self._searches[0].read()]

    def _own(self, search: AuditSearch) -> list[RecordedEntry]:
        """Return this instance's entries that go with a search.

        An answer that is full ends in the middle of the stream, and what comes
        later belongs to the next one.
        """
        kept = self.query(*search.query)
        if not search.found or search.end_reached:
            return kept
        return [each for each in kept if each.offset < search.next_offset]

    def _answer(self, search: AuditSearch, code: ResultCode) -> OperatorReply:
        """Answer with what the log has, and what only this instance knows."""
        unique = {
            (recorded.instance, recorded.sequence): recorded
            for recorded in [*self._own(search), *search.found]
        }
        entries = sorted(unique.values(), key=_by_time)
        answer: dict[str, Any] = {
            'entries': [_describe(recorded) for recorded in entries],
            'next_offset': search.next_offset,
            'complete': search.end_reached,
        }
        return OperatorReply(search.command_id, msgspec.json.encode(answer), code)


def _by_time(recorded: RecordedEntry) -> tuple[int, str, int]:
    return recorded.at_ms, recorded.instance, recorded.sequence


def _describe(recorded: RecordedEntry) -> dict[str, Any]:
    entry = recorded.entry._asdict()
    del entry['lasting']
    return {
        **entry,
        'instance': recorded.instance,
        'at_ms': recorded.at_ms,
        'offset': recorded.offset,
    }
