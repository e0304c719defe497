"""Append snapshots to the log before the last one expires."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.append_record import AppendRecord
from savorychute.configuration.log_reader import CONFIGURATION_STREAM
from savorychute.configuration.record_codec import encode_record
from savorychute.configuration.snapshot_codec import encode_state, split_state
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

if TYPE_CHECKING:
    import random

    from savorychute.configuration.fold import ConfigurationFold
    from savorychute.configuration.log_budget import LogBudget
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.inputs.append_finished import AppendFinished

SNAPSHOT_APPEND_PREFIX = 'snapshot:'
URGENT_JITTER_DIVISOR = 10
PART_TIMEOUT_MS = 30_000


class SnapshotWriter:
    """Writes one snapshot at a time, one part at a time.

    Each instance that finds a snapshot due waits for a random delay.  The one with
    the shortest delay writes, and the others cancel theirs when they read its first
    part.  If two instances write at once, both snapshots are complete and valid.

    :param settings: delays and sizes.
    :param budget: limits the appends.
    :param writer_id: an id that no other incarnation of any instance uses.
    :param rng: draws the delays.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        budget: LogBudget,
        writer_id: str,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._writer_id = writer_id
        self._rng = rng
        self._start_ms: int | None = None
        self._scheduled_ms = 0
        self._records: list[SnapshotRecord] = []
        self._next_part = 0
        self._sent_ms: int | None = None
        self._count = 0
        self.written = 0

    def tick(
        self,
        fold: ConfigurationFold,
        due: bool,
        urgent: bool,
        last_part_ms: int | None,
        log_is_down: bool,
        now_ms: int,
    ) -> list[AppendRecord]:
        """Return the next part to append if one is due.

        :param fold: the fold whose state is written.
        :param due: whether a snapshot is due.
        :param urgent: whether the log contains no usable snapshot.
        :param last_part_ms: when a part of any instance was last read.
        :param log_is_down: whether the log is down, so that writing is postponed.
        """
        if self._records:
            return self._continue(now_ms)
        if not due:
            self._start_ms = None
            return []
        if self._start_ms is None or log_is_down:
            self._schedule(urgent, now_ms)
            return []
        if last_part_ms is not None and last_part_ms >= self._scheduled_ms:
            self._schedule(urgent, now_ms)
            return []
        if now_ms < self._start_ms or not self._budget.acquire('snapshot', now_ms):
            return []
        self._start_snapshot(fold)
        return [self._append_next_part(now_ms)]

    def append_finished(self, finished: AppendFinished) -> None:
        """Handle the outcome of an append of this writer.

        If the response was lost, the part may be missing, so the snapshot is
        abandoned; an incomplete snapshot is never used.

        :param finished: the outcome.
        """
        if not self._records or finished.append_id != self._append_id():
            return
        self._sent_ms = None
        if finished.outcome != 'appended':
            self._reset()
            return
        self._next_part += 1
        if self._next_part == len(self._records):
            self.written += 1
            self._reset()

    def _schedule(self, urgent: bool, now_ms: int) -> None:
        jitter_ms = self._settings.snapshot_jitter_ms
        if urgent:
            jitter_ms //= URGENT_JITTER_DIVISOR
        self._scheduled_ms = now_ms
        self._start_ms = now_ms + self._rng.randrange(jitter_ms + 1)

    def _start_snapshot(self, fold: ConfigurationFold) -> None:
        self._count += 1
        slices = split_state(encode_state(fold), self._settings.snapshot_part_bytes)
        self._records = [
            SnapshotRecord(
                kind=SNAPSHOT_KIND,
                snapshot_id=f'{self._writer_id}.{self._count}',
                through_offset=fold.state.offset,
                part=part,
                parts=len(slices),
                data=data,
            )
            for part, data in enumerate(slices)
        ]
        self._next_part = 0
        self._sent_ms = None

    def _continue(self, now_ms: int) -> list[AppendRecord]:
        if self._sent_ms is not None:
            if now_ms - self._sent_ms >= PART_TIMEOUT_MS:
                self._reset()
            return []
        if not self._budget.acquire('snapshot', now_ms):
            return []
        return [self._append_next_part(now_ms)]

    def _append_next_part(self, now_ms: int) -> AppendRecord:
        self._sent_ms = now_ms
        payload = encode_record(self._records[self._next_part])
        return AppendRecord(self._append_id(), CONFIGURATION_STREAM, payload)

    def _append_id(self) -> str:
        record = self._records[self._next_part]
        return f'{SNAPSHOT_APPEND_PREFIX}{record["snapshot_id"]}:{record["part"]}'

    def _reset(self) -> None:
        self._records = []
        self._start_ms = None
        self._sent_ms = None
