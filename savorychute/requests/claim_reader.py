"""Follows the stream of claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.read_records import ReadRecords
from savorychute.requests.claim_batch import CLAIMS_STREAM, ClaimBatch, decode_batch

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs.records_read import RecordsRead
    from savorychute.requests.claim_index import ClaimIndex
    from savorychute.requests.key_settings import KeySettings


class ClaimReader:
    """Reads each record of the stream once, in order.

    It begins a bounded number of records before the end; what older claims
    there were is bounded in time by :class:`ClaimIndex`.

    :param settings: intervals and page size.
    :param index: where records go.
    """

    def __init__(self, settings: KeySettings, index: ClaimIndex) -> None:
        self._settings = settings
        self._index = index
        self._cursor: int | None = None
        self._asked_ms: int | None = None
        self._next_ms = 0
        self._urgent_ms = 0
        self.is_failing = False

    @property
    def cursor(self) -> int | None:
        """The offset before which everything was read, or None at first."""
        return self._cursor

    def tick(self, is_waiting: bool, now_ms: int) -> list[Action]:
        """Ask for records if it is time to.

        :param is_waiting: whether a claim waits to be seen.
        :param now_ms: the time.
        """
        if self._asked_ms is not None:
            # The answer to a read may be lost.
            if now_ms - self._asked_ms < self._settings.claim_read_timeout_ms:
                return []
            self.is_failing = True
        elif now_ms < (self._urgent_ms if is_waiting else self._next_ms):
            return []
        return [self._ask(now_ms)]

    def hurry(self) -> None:
        """Read as soon as no read is on its way; an append has landed."""
        self._urgent_ms = 0

    def take(
        self, read: RecordsRead, wall_ms: int, now_ms: int
    ) -> tuple[ClaimBatch, ...]:
        """Fold what was read and return the batches that are new.

        :param read: the answer to a read.
        :param wall_ms: the wall-clock time.
        :param now_ms: the time.
        """
        self._asked_ms = None
        self.is_failing = not read.ok
        self._next_ms = now_ms + self._settings.claim_idle_interval_ms
        if not read.ok:
            return ()
        if self._cursor is None:
            self._start(read, wall_ms)
            return ()
        if read.first_offset > self._cursor:
            # Records expired before they were read, for example because this
            # instance was paused; claims among them are not known here.
            self._cursor = read.first_offset
            self._index.start(self._cursor, wall_ms)
        batches = self._fold(read)
        if self._cursor < read.end_offset:
            self._next_ms = now_ms
            self._urgent_ms = now_ms
        return batches

    def next_due_ms(self, is_waiting: bool) -> int:
        """Return when :meth:`tick` has something to do.

        :param is_waiting: whether a claim waits to be seen.
        """
        if self._asked_ms is not None:
            return self._asked_ms + self._settings.claim_read_timeout_ms
        return self._urgent_ms if is_waiting else self._next_ms

    def _ask(self, now_ms: int) -> ReadRecords:
        self._asked_ms = now_ms
        self._urgent_ms = now_ms + self._settings.claim_read_interval_ms
        if self._cursor is None:
            return ReadRecords(CLAIMS_STREAM, 0, 1)
        count = self._settings.claim_page_records
        return ReadRecords(CLAIMS_STREAM, self._cursor, count)

    def _start(self, read: RecordsRead, wall_ms: int) -> None:
        backlog = read.end_offset - self._settings.claim_backlog_records
        self._cursor = max(read.first_offset, backlog)
        self._index.start(self._cursor, wall_ms)
        self._next_ms = 0
        self._urgent_ms = 0

    def _fold(self, read: RecordsRead) -> tuple[ClaimBatch, ...]:
        batches = []
        for record in read.records:
            if self._cursor is not None and record.offset < self._cursor:
                continue
            self._cursor = record.offset + 1
            batch = decode_batch(record.payload)
            if batch is not None:
                self._index.fold(batch)
                batches.append(batch)
        return tuple(batches)
