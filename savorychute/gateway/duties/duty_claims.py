"""Who holds the duties, over the eras of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.append_record import AppendRecord
from savorychute.gateway.duties.conditional_write import ConditionalWrite
from savorychute.gateway.duties.duty_record import CLAIM_KEY
from savorychute.gateway.duties.duty_records import DutyRecords
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.store_era import number_in_era
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.inputs.append_finished import AppendFinished
from savorychute.inputs.log_record import LogRecord
from savorychute.inputs.records_read import RecordsRead
from savorychute.leases.lease_change import LAPSED, LeaseChange
from savorychute.leases.lease_manager import LeaseManager
from savorychute.leases.lease_record import LEASE_STREAM

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.store.write_receipt import WriteReceipt
    from savorychute.leases.lease_settings import LeaseSettings

LEASE_PREFIX = 'duties.'
# In a new era the holder of the one before goes first: it knows what it has settled.
ERA_PATIENCE_MS = 1_500


class DutyClaims:
    """The lease of duties, and what else the topic of duties says.

    Claims follow the rules of :mod:`savorychute.leases`.  Each record is written on the
    condition that its writer has read all before it, so a holder that was followed by
    another can settle nothing any more.

    Offsets are given out again when the store comes back from an older copy.  A lease
    belongs to one era, and a fencing number begins with the era, so that it rises however
    far offsets go back.

    :param instance: this instance's name.
    :param settings: durations of the lease.
    :param rng: spreads claims.
    :param eras: the newest era that any answer of the store has named.
    """

    def __init__(
        self,
        instance: str,
        settings: LeaseSettings,
        rng: random.Random,
        eras: StoreEra,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._rng = rng
        self._eras = eras
        self._keeper: LeaseManager | None = None
        self._claim_from_ms = 0
        self._changes: list[LeaseChange] = []
        self.records = DutyRecords()

    # -- what the topic says

    def take_listing(self, snapshot: TopicSnapshot, now_ms: int, true_ms: int) -> None:
        """Take the newest records, at the start and after a loss of history.

        :param snapshot: the records.
        :param now_ms: the time.
        :param true_ms: the true time.
        """
        if snapshot.era != self.records.era:
            self._begin_era(snapshot.era, now_ms, true_ms)
        self.records.take(snapshot.records)
        claims = [_log_record(each) for each in snapshot.records if _is_claim(each)]
        for claim in claims:
            self._feed(claim.offset, (claim,), snapshot.next_offset, now_ms)
        self._feed(snapshot.next_offset, (), snapshot.next_offset, now_ms)
        self.records.next_offset = snapshot.next_offset

    def take_delta(self, delta: TopicDelta, now_ms: int) -> None:
        """Take the records that were written since.

        :param delta: the records.
        :param now_ms: the time.
        """
        if delta.era != self.records.era or self.records.next_offset is None:
            # The offset that was read from may hold another record in this era.
            self.records.next_offset = None
            return
        self.records.take(delta.records)
        records = tuple(_log_record(each) for each in delta.records)
        end = max(delta.end, delta.next_offset)
        self._feed(self.records.next_offset, records, end, now_ms)
        self.records.next_offset = delta.next_offset

    def _begin_era(self, era: int, now_ms: int, true_ms: int) -> None:
        self._collect_changes()
        held = None
        if self._keeper is not None:
            held = self._keeper.holds(self._lease, now_ms)
        if held is not None:
            number = self._fencing_number(held)
            lapsed = LeaseChange(self._lease, LAPSED, number, 'an older copy')
            self._changes.append(lapsed)
        self.records.begin_era(era, true_ms)
        self._keeper = LeaseManager(self._settings, self._instance, self._rng)
        patience_ms = ERA_PATIENCE_MS if held is None else 0
        self._claim_from_ms = now_ms + patience_ms

    def _feed(
        self, first: int, records: Sequence[LogRecord], end: int, now_ms: int
    ) -> None:
        assert self._keeper is not None
        read = RecordsRead(LEASE_STREAM, True, tuple(records), first, end)
        self._keeper.records_read(read, now_ms)

    # -- the lease

    def tick(self, now_ms: int, *, wanted: bool) -> list[ConditionalWrite]:
        """Return claims that are due.

        :param now_ms: the time.
        :param wanted: whether this instance should hold the duties if nobody does.
        """
        keeper = self._keeper
        if keeper is None or self._is_behind():
            return []
        holds = keeper.holds(self._lease, now_ms) is not None
        if holds or (wanted and now_ms >= self._claim_from_ms):
            keeper.want(self._lease)
        else:
            keeper.release(self._lease, now_ms)
        return self._writes(keeper.tick(now_ms))

    def fencing(self, now_ms: int) -> int | None:
        """Return the fencing number if the duties are held now, or None.

        To be asked right before each call to the platform.

        :param now_ms: the time.
        """
        if self._keeper is None or self._is_behind():
            return None
        first_claim = self._keeper.holds(self._lease, now_ms)
        if first_claim is None:
            return None
        return self._fencing_number(first_claim)

    def refused(self, fencing: int, now_ms: int) -> None:
        """Stop holding at once: another instance has called with a larger number.

        This instance stays out for a whole lease, so that the two do not take turns.

        :param fencing: the number that was refused.
        :param now_ms: the time.
        """
        first_claim = fencing - self._fencing_number(0)
        self._claim_from_ms = now_ms + self._settings.duration_ms
        if self._keeper is not None:
            self._keeper.surrender(self._lease, first_claim, 'a larger number was seen')
            self._keeper.release(self._lease, now_ms)

    def release(self, now_ms: int, again_ms: int) -> list[ConditionalWrite]:
        """Give the duties up, so that another instance need not wait.

        :param now_ms: the time.
        :param again_ms: when this instance may claim them again.
        """
        self._claim_from_ms = max(self._claim_from_ms, again_ms)
        if self._keeper is None or self._is_behind():
            return []
        return self._writes(self._keeper.release(self._lease, now_ms))

    def write_finished(
        self,
        write: ConditionalWrite,
        receipt: WriteReceipt | None,
        now_ms: int,
        *,
        refused: bool,
    ) -> None:
        """Take in how a write ended.

        :param write: the write.
        :param receipt: where the record stands, None without an answer.
        :param now_ms: the time.
        :param refused: whether it certainly was not written.
        """
        if receipt is not None and receipt.era != self.records.era:
            self.records.next_offset = None
        if self._keeper is None or not write.append_id:
            return
        outcome = 'appended' if receipt is not None else 'unknown'
        if refused:
            outcome = 'refused'
        self._keeper.append_finished(
            AppendFinished(write.append_id, LEASE_STREAM, outcome), now_ms
        )

    def take_changes(self) -> list[LeaseChange]:
        """Return the changes of this instance's hold since the last call."""
        self._collect_changes()
        changes, self._changes = self._changes, []
        return changes

    def _collect_changes(self) -> None:
        if self._keeper is not None:
            self._changes += [
                change._replace(fencing=self._fencing_number(change.fencing))
                for change in self._keeper.take_changes()
            ]

    def _fencing_number(self, first_claim: int) -> int:
        return number_in_era(self.records.era, first_claim)

    @property
    def _lease(self) -> str:
        """The lease of this era: whoever held one before it holds nothing now."""
        return f'{LEASE_PREFIX}{self.records.era}'

    def _is_behind(self) -> bool:
        """Return whether the store has begun an era that is not read here yet."""
        return self._eras.current != self.records.era

    def _writes(self, actions: Sequence[object]) -> list[ConditionalWrite]:
        appends = [each for each in actions if isinstance(each, AppendRecord)]
        if self.records.next_offset is None:
            return []
        return [
            ConditionalWrite(
                CLAIM_KEY, each.payload, self.records.next_offset, each.append_id
            )
            for each in appends
        ]


def _is_claim(record: KeyedRecord | UnreadableRecord) -> bool:
    return record.key == CLAIM_KEY and not isinstance(record, UnreadableRecord)


def _log_record(record: KeyedRecord | UnreadableRecord) -> LogRecord:
    """Return a record as the lease sees it; others only move its offset on."""
    payload = b''
    if isinstance(record, KeyedRecord) and record.key == CLAIM_KEY:
        payload = record.value or b''
    return LogRecord(record.offset, payload)
