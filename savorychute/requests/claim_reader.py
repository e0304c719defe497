"""Reads the claims stream of the log."""

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
    """Reads each record of the claims stream once, in order.

    Reading starts at most ``claim_backlog_records`` before the end of
    the stream; :class:`ClaimIndex` tracks which keys may have older claims.

    :param settings: intervals and page size.
    :param index: the index to which the records are applied.
    """

    def __init__(self, settings: KeySettings, index: ClaimIndex) -> None:
        self._settings = settings
        self._index = index
        self._cursor: int | None = None
        self._requested_ms: int | None = None
        self._next_ms = 0
        self._next_urgent_ms = 0
        self.is_failing = False

    @property
    def cursor(self) -> int | None:
        """The offset of the next record to read, or None before the first read."""
        return self._cursor

    def tick(self, has_pending_claims: bool, now_ms: int) -> list[Action]:
        """Request records if a read is due.

        :param has_pending_claims: whether a claim waits to be read back.
        :param now_ms: the current time.
        """
        if self._requested_ms is not None:
            # The response to a read may be lost.
            if now_ms - self._requested_ms < self._settings.claim_read_timeout_ms:
                return []
            self.is_failing = True
        elif now_ms < (self._next_urgent_ms if has_pending_claims else self._next_ms):
            return []
        return [self._make_read(now_ms)]

    def read_promptly(self) -> None:
        """Make the next read due at once, because an append has finished."""
        self._next_urgent_ms = 0

    def apply(
        self, read: RecordsRead, wall_ms: int, now_ms: int
    ) -> tuple[ClaimBatch, ...]:
        """Apply the records of a read and return the new batches.

        :param read: the response to a read.
        :param wall_ms: the current wall-clock time.
        :param now_ms: the current time.
        """
        self._requested_ms = None
        self.is_failing = not read.ok
        self._next_ms = now_ms + self._settings.claim_idle_interval_ms
        if not read.ok:
            return ()
        if self._cursor is None:
            self._start(read, wall_ms)
            return ()
        if read.first_offset > self._cursor:
            # Records expired before this instance read them, for example
            # because it was paused; claims among them are unknown to it.
            self._cursor = read.first_offset
            self._index.start(self._cursor, wall_ms)
        batches = self._apply_records(read)
        if self._cursor < read.end_offset:
            self._next_ms = now_ms
            self._next_urgent_ms = now_ms
        return batches

    def next_due_ms(self, has_pending_claims: bool) -> int:
        """Return when :meth:`tick` is due next.

        :param has_pending_claims: whether a claim waits to be read back.
        """
        if self._requested_ms is not None:
            return self._requested_ms + self._settings.claim_read_timeout_ms
        return self._next_urgent_ms if has_pending_claims else self._next_ms

    def _make_read(self, now_ms: int) -> ReadRecords:
        self._requested_ms = now_ms
        self._next_urgent_ms = now_ms + self._settings.claim_read_interval_ms
        if self._cursor is None:
            return ReadRecords(CLAIMS_STREAM, 0, 1)
        count = self._settings.claim_page_records
        return ReadRecords(CLAIMS_STREAM, self._cursor, count)

    def _start(self, read: RecordsRead, wall_ms: int) -> None:
        backlog_offset = read.end_offset - self._settings.claim_backlog_records
        self._cursor = max(read.first_offset, backlog_offset)
        self._index.start(self._cursor, wall_ms)
        self._next_ms = 0
        self._next_urgent_ms = 0

    def _apply_records(self, read: RecordsRead) -> tuple[ClaimBatch, ...]:
        batches = []
        for record in read.records:
            if self._cursor is not None and record.offset < self._cursor:
                continue
            self._cursor = record.offset + 1
            batch = decode_batch(record.payload)
            if batch is not None:
                self._index.apply(batch)
                batches.append(batch)
        return tuple(batches)
