"""Tracks which instance holds the duties, across eras of the platform's store."""

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
# In a new era the previous holder claims first, because it knows which reports it has
# settled.
NEW_ERA_CLAIM_DELAY_MS = 1_500


class DutyClaims:
    """The lease of the duties and the other records of the topic of duties.

    Claims follow the rules of :mod:`savorychute.leases`. Each record is written on the
    condition that its writer has read all earlier records, so a holder that has been
    replaced can no longer settle anything.

    The store reuses offsets after it is restored from an older copy. A lease therefore
    belongs to one era, and a fencing number starts with the era, so that it rises even
    when offsets go back.

    :param instance: the name of this instance.
    :param settings: durations of the lease.
    :param rng: randomises the times of claims.
    :param store_era: the newest era that any response of the store has named.
    """

    def __init__(
        self,
        instance: str,
        settings: LeaseSettings,
        rng: random.Random,
        store_era: StoreEra,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._rng = rng
        self._store_era = store_era
        self._lease_manager: LeaseManager | None = None
        self._next_claim_ms = 0
        self._changes: list[LeaseChange] = []
        self.records = DutyRecords()

    # -- reading the topic

    def apply_snapshot(
        self, snapshot: TopicSnapshot, now_ms: int, true_ms: int
    ) -> None:
        """Apply the newest records, at the start and after a loss of history.

        :param snapshot: the records.
        :param now_ms: the current time.
        :param true_ms: the current true time.
        """
        if snapshot.era != self.records.era:
            self._start_era(snapshot.era, now_ms, true_ms)
        self.records.apply(snapshot.records)
        claims = [_log_record(each) for each in snapshot.records if _is_claim(each)]
        for claim in claims:
            self._apply_claims(claim.offset, (claim,), snapshot.next_offset, now_ms)
        self._apply_claims(snapshot.next_offset, (), snapshot.next_offset, now_ms)
        self.records.next_offset = snapshot.next_offset

    def apply_delta(self, delta: TopicDelta, now_ms: int) -> None:
        """Apply the records that were written since the last read.

        :param delta: the records.
        :param now_ms: the current time.
        """
        if delta.era != self.records.era or self.records.next_offset is None:
            # In the new era, the offset that was read from may hold a different record.
            self.records.next_offset = None
            return
        self.records.apply(delta.records)
        records = tuple(_log_record(each) for each in delta.records)
        end_offset = max(delta.end, delta.next_offset)
        self._apply_claims(self.records.next_offset, records, end_offset, now_ms)
        self.records.next_offset = delta.next_offset

    def _start_era(self, era: int, now_ms: int, true_ms: int) -> None:
        self._collect_changes()
        held_claim = None
        if self._lease_manager is not None:
            held_claim = self._lease_manager.holds(self._lease_name, now_ms)
        if held_claim is not None:
            fencing_number = self._to_fencing_number(held_claim)
            lapsed = LeaseChange(
                self._lease_name, LAPSED, fencing_number, 'an older copy'
            )
            self._changes.append(lapsed)
        self.records.start_era(era, true_ms)
        self._lease_manager = LeaseManager(self._settings, self._instance, self._rng)
        claim_delay_ms = NEW_ERA_CLAIM_DELAY_MS if held_claim is None else 0
        self._next_claim_ms = now_ms + claim_delay_ms

    def _apply_claims(
        self,
        first_offset: int,
        records: Sequence[LogRecord],
        end_offset: int,
        now_ms: int,
    ) -> None:
        assert self._lease_manager is not None
        read = RecordsRead(LEASE_STREAM, True, tuple(records), first_offset, end_offset)
        self._lease_manager.records_read(read, now_ms)

    # -- holding the lease

    def tick(self, now_ms: int, *, should_hold: bool) -> list[ConditionalWrite]:
        """Return the claims that are due.

        :param now_ms: the current time.
        :param should_hold: whether this instance should take the duties when they are
            free.
        """
        lease_manager = self._lease_manager
        if lease_manager is None or self._is_behind():
            return []
        holds = lease_manager.holds(self._lease_name, now_ms) is not None
        if holds or (should_hold and now_ms >= self._next_claim_ms):
            lease_manager.want(self._lease_name)
        else:
            lease_manager.release(self._lease_name, now_ms)
        return self._to_writes(lease_manager.tick(now_ms))

    def fencing_number(self, now_ms: int) -> int | None:
        """Return the fencing number if this instance holds the duties, else None.

        Call this immediately before each call to the platform.

        :param now_ms: the current time.
        """
        if self._lease_manager is None or self._is_behind():
            return None
        first_claim = self._lease_manager.holds(self._lease_name, now_ms)
        if first_claim is None:
            return None
        return self._to_fencing_number(first_claim)

    def handle_refusal(self, refused_number: int, now_ms: int) -> None:
        """Give up the duties at once: the platform has seen a larger fencing number.

        This instance makes no claim for a whole lease duration, so that the two
        instances do not take the duties from each other in turn.

        :param refused_number: the fencing number that was refused.
        :param now_ms: the current time.
        """
        first_claim = refused_number - self._to_fencing_number(0)
        self._next_claim_ms = now_ms + self._settings.duration_ms
        if self._lease_manager is not None:
            self._lease_manager.surrender(
                self._lease_name, first_claim, 'a larger number was seen'
            )
            self._lease_manager.release(self._lease_name, now_ms)

    def release(self, now_ms: int, next_claim_ms: int) -> list[ConditionalWrite]:
        """Release the duties, so that another instance can claim them without waiting.

        :param now_ms: the current time.
        :param next_claim_ms: the earliest time at which this instance may claim them
            again.
        """
        self._next_claim_ms = max(self._next_claim_ms, next_claim_ms)
        if self._lease_manager is None or self._is_behind():
            return []
        return self._to_writes(self._lease_manager.release(self._lease_name, now_ms))

    def write_finished(
        self,
        write: ConditionalWrite,
        receipt: WriteReceipt | None,
        now_ms: int,
        *,
        refused: bool,
    ) -> None:
        """Record the result of a write.

        :param write: the write.
        :param receipt: the position of the record; None without a response.
        :param now_ms: the current time.
        :param refused: whether the record was certainly not written.
        """
        if receipt is not None and receipt.era != self.records.era:
            self.records.next_offset = None
        if self._lease_manager is None or not write.append_id:
            return
        outcome = 'appended' if receipt is not None else 'unknown'
        if refused:
            outcome = 'refused'
        self._lease_manager.append_finished(
            AppendFinished(write.append_id, LEASE_STREAM, outcome), now_ms
        )

    def take_changes(self) -> list[LeaseChange]:
        """Return the changes of this instance's hold since the last call."""
        self._collect_changes()
        changes, self._changes = self._changes, []
        return changes

    def _collect_changes(self) -> None:
        if self._lease_manager is not None:
            self._changes += [
                change._replace(fencing=self._to_fencing_number(change.fencing))
                for change in self._lease_manager.take_changes()
            ]

    def _to_fencing_number(self, first_claim: int) -> int:
        return number_in_era(self.records.era, first_claim)

    @property
    def _lease_name(self) -> str:
        """The lease of the current era; leases of earlier eras are no longer valid."""
        return f'{LEASE_PREFIX}{self.records.era}'

    def _is_behind(self) -> bool:
        """Return whether the store has started an era that is not read here yet."""
        return self._store_era.current != self.records.era

    def _to_writes(self, actions: Sequence[object]) -> list[ConditionalWrite]:
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
    """Convert a record for the lease; a record other than a claim has no payload."""
    payload = b''
    if isinstance(record, KeyedRecord) and record.key == CLAIM_KEY:
        payload = record.value or b''
    return LogRecord(record.offset, payload)
