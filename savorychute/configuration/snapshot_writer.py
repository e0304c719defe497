"""Append snapshots before the retention takes the last one."""

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
URGENT_DIVISOR = 10
PART_TIMEOUT_MS = 30_000


class SnapshotWriter:
    """Writes one snapshot at a time, one part at a time.

    Each instance that finds a snapshot due draws a delay; the first to come up
    writes, and the others drop theirs when they read its first part.  Two that
    write at once do no harm: both snapshots are complete and true.

    :param settings: delays and sizes.
    :param budget: the appends that may be sent.
    :param writer: a name that no other run of any instance has.
    :param rng: draws the delays.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        budget: LogBudget,
        writer: str,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._writer = writer
        self._rng = rng
        self._start_ms: int | None = None
        self._planned_ms = 0
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
        begun_ms: int | None,
        log_is_down: bool,
        now_ms: int,
    ) -> list[AppendRecord]:
        """Return the next part to append, if it is time.

        :param fold: the state to write.
        :param due: whether a snapshot is due.
        :param urgent: whether the log has none that is of use.
        :param begun_ms: when some instance's part was last read.
        :param log_is_down: whether to wait instead.
        """
        if self._records:
            return self._continue(now_ms)
        if not due:
            self._start_ms = None
            return []
        if self._start_ms is None or log_is_down:
            self._plan(urgent, now_ms)
            return []
        if begun_ms is not None and begun_ms >= self._planned_ms:
            self._plan(urgent, now_ms)
            return []
        if now_ms < self._start_ms or not self._budget.take('snapshot', now_ms):
            return []
        self._begin(fold)
        return [self._send(now_ms)]

    def append_finished(self, finished: AppendFinished) -> None:
        """Take in the outcome of an append of this writer.

        A part whose reply was lost may be missing, so the snapshot is given
        up; an incomplete one is never used.

        :param finished: the outcome.
        """
        if not self._records or finished.append_id != self._append_id():
            return
        self._sent_ms = None
        if finished.outcome != 'appended':
            self._give_up()
            return
        self._next_part += 1
        if self._next_part == len(self._records):
            self.written += 1
            self._give_up()

    def _plan(self, urgent: bool, now_ms: int) -> None:
        jitter_ms = self._settings.snapshot_jitter_ms
        if urgent:
            jitter_ms //= URGENT_DIVISOR
        self._planned_ms = now_ms
        self._start_ms = now_ms + self._rng.randrange(jitter_ms + 1)

    def _begin(self, fold: ConfigurationFold) -> None:
        self._count += 1
        slices = split_state(encode_state(fold), self._settings.snapshot_part_bytes)
        self._records = [
            SnapshotRecord(
                kind=SNAPSHOT_KIND,
                snapshot_id=f'{self._writer}.{self._count}',
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
                self._give_up()
            return []
        if not self._budget.take('snapshot', now_ms):
            return []
        return [self._send(now_ms)]

    def _send(self, now_ms: int) -> AppendRecord:
        self._sent_ms = now_ms
        payload = encode_record(self._records[self._next_part])
        return AppendRecord(self._append_id(), CONFIGURATION_STREAM, payload)

    def _append_id(self) -> str:
        record = self._records[self._next_part]
        return f'{SNAPSHOT_APPEND_PREFIX}{record["snapshot_id"]}:{record["part"]}'

    def _give_up(self) -> None:
        self._records = []
        self._start_ms = None
        self._sent_ms = None
