"""Who holds the duties, over the eras of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.append_record import AppendRecord
from savorychute.gateway.duties.duty_record import (
    CLAIM_KEY,
    ERA_KEY,
    FLEET_KEY,
    EraRecord,
    FleetRecord,
    SettledRecord,
    decode_era,
    decode_fleets,
    decode_settled,
    encode_record,
    is_report_key,
    report_key,
)
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.inputs.append_finished import AppendFinished
from savorychute.inputs.log_record import LogRecord
from savorychute.inputs.records_read import RecordsRead
from savorychute.leases.lease_keeper import LeaseKeeper
from savorychute.leases.lease_record import LEASE_STREAM

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.duties.server_fleet import ServerFleet
    from savorychute.gateway.duties.usage_report import UsageReport
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.store.write_receipt import WriteReceipt
    from savorychute.leases.lease_change import LeaseChange
    from savorychute.leases.lease_settings import LeaseSettings

LEASE_PREFIX = 'duties.'
# A fencing number is an era and an offset in it; offsets of a topic stay far below this.
ERA_SHIFT = 32
# In a new era the holder of the one before goes first: it knows what it has settled.
ERA_PATIENCE_MS = 1_500
# Instances know the true time within this.
CLOCKS_APART_MS = 500
# Windows of which a settled report is remembered, the newest.
REPORTS_KEPT = 64


class ConditionalWrite(NamedTuple):
    """A record to be written if the topic still ends where this instance has read it."""

    key: str
    value: bytes
    expected_end: int
    append_id: str = ''


class DutyClaims:
    """The lease of duties and the reports that were settled under it.

    Claims follow the rules of :mod:`savorychute.leases`.  Each record is written on the
    condition that its writer has read all before it, so a holder that was followed by
    another can settle nothing any more.

    Offsets are given out again when the store comes back from an older copy.  A lease
    belongs to one era, and a fencing number begins with the era, so that it rises however
    far offsets go back.  A report that was settled in an earlier era may be lost to all but
    those who read it then; it is used by these alone.

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
        self._keeper: LeaseKeeper | None = None
        self._era = -1
        self._era_since_ms = 0
        self._era_is_written = False
        self._held_before = False
        self._claim_from_ms = 0
        self._wanted = False
        self._changes: list[LeaseChange] = []
        self._reports: dict[int, UsageReport] = {}
        self._fleets: dict[str, ServerFleet] = {}
        self._fleets_are_written = False
        # Where to read on; None to list the topic.
        self.next_offset: int | None = None

    # -- what the topic says

    def take_listing(self, snapshot: TopicSnapshot, now_ms: int, true_ms: int) -> None:
        """Take the newest records, at the start and after a loss of history.

        :param snapshot: the records.
        :param now_ms: the time.
        :param true_ms: the true time.
        """
        if snapshot.era != self._era:
            self._begin_era(snapshot.era, now_ms, true_ms)
        for record in snapshot.records:
            self._take(record)
        claims = [_log_record(each) for each in snapshot.records if _is_claim(each)]
        for claim in claims:
            self._feed(claim.offset, (claim,), snapshot.next_offset, now_ms)
        self._feed(snapshot.next_offset, (), snapshot.next_offset, now_ms)
        self.next_offset = snapshot.next_offset

    def take_delta(self, delta: TopicDelta, now_ms: int) -> None:
        """Take the records that were written since.

        :param delta: the records.
        :param now_ms: the time.
        """
        if delta.era != self._era or self.next_offset is None:
            # The offset that was read from may hold another record in this era.
            self.next_offset = None
            return
        for record in delta.records:
            self._take(record)
        records = tuple(_log_record(each) for each in delta.records)
        end = max(delta.end, delta.next_offset)
        self._feed(self.next_offset, records, end, now_ms)
        self.next_offset = delta.next_offset

    def _begin_era(self, era: int, now_ms: int, true_ms: int) -> None:
        self._held_before = self._keeper is not None and self._keeper.holds_any(now_ms)
        self._collect_changes()
        self._era = era
        self._era_since_ms = true_ms
        self._era_is_written = False
        self._fleets_are_written = False
        self._keeper = LeaseKeeper(self._settings, self._instance, self._rng)
        patience_ms = 0 if self._held_before else ERA_PATIENCE_MS
        self._claim_from_ms = now_ms + patience_ms

    def _feed(
        self, first: int, records: Sequence[LogRecord], end: int, now_ms: int
    ) -> None:
        assert self._keeper is not None
        read = RecordsRead(LEASE_STREAM, True, tuple(records), first, end)
        self._keeper.records_read(read, now_ms)

    def _take(self, record: KeyedRecord | UnreadableRecord) -> None:
        if isinstance(record, UnreadableRecord) or record.value is None:
            return
        if record.key == ERA_KEY:
            self._take_era(record.value)
        elif record.key == FLEET_KEY:
            self._take_fleets(record.value)
        elif is_report_key(record.key):
            self._take_report(record.value)

    def _take_era(self, value: bytes) -> None:
        known = decode_era(value)
        if known is not None and known.era == self._era:
            self._era_is_written = True
            self._era_since_ms = min(self._era_since_ms, known.since_ms)

    def _take_fleets(self, value: bytes) -> None:
        """Keep what endpoints are wanted; a copy may hold an older word, but no wrong one."""
        record = decode_fleets(value)
        if record is None:
            return
        for fleet in record.fleets:
            self._fleets.setdefault(fleet.service, fleet)
        self._fleets_are_written = len(record.fleets) == len(self._fleets)

    def _take_report(self, value: bytes) -> None:
        """Keep a report that was settled in this era.

        One of an earlier era may be a copy of what was settled, or a write that was carried
        out late and never was; the two cannot be told apart.
        """
        settled = decode_settled(value)
        if settled is not None and settled.era == self._era:
            self._keep(settled.report)

    def _keep(self, report: UsageReport) -> None:
        self._reports.setdefault(report.window, report)
        if len(self._reports) > REPORTS_KEPT:
            del self._reports[min(self._reports)]

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
        first_claim = fencing - (self._era << ERA_SHIFT) - 1
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
        if receipt is not None and receipt.era != self._era:
            self.next_offset = None
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
        return (self._era << ERA_SHIFT) + first_claim + 1

    @property
    def _lease(self) -> str:
        """The lease of this era: whoever held one before it holds nothing now."""
        return f'{LEASE_PREFIX}{self._era}'

    def _is_behind(self) -> bool:
        """Return whether the store has begun an era that is not read here yet."""
        return self._eras.current != self._era

    def _writes(self, actions: Sequence[object]) -> list[ConditionalWrite]:
        appends = [each for each in actions if isinstance(each, AppendRecord)]
        if self.next_offset is None:
            return []
        return [
            ConditionalWrite(CLAIM_KEY, each.payload, self.next_offset, each.append_id)
            for each in appends
        ]

    # -- settled reports

    def settled(self, window: int) -> UsageReport | None:
        """Return the settled report of a window, None if none is known.

        :param window: its number.
        """
        return self._reports.get(window)

    def may_settle(self, window_end_ms: int) -> bool:
        """Return whether no report of a window can have been settled and lost.

        A window that ended before this era may have had one that the older copy lacks, and
        a second one for the same window must never be sent.

        :param window_end_ms: its end.
        """
        begun_ms = self._era_since_ms + CLOCKS_APART_MS
        return self.next_offset is not None and window_end_ms >= begun_ms

    def era_write(self) -> ConditionalWrite | None:
        """Return the record of this era if nobody has written it, else None.

        It tells instances that start later since when nothing was lost.
        """
        if self._era_is_written or self.next_offset is None:
            return None
        record = EraRecord(self._era, self._era_since_ms)
        return ConditionalWrite(ERA_KEY, encode_record(record), self.next_offset)

    def settle_write(self, report: UsageReport) -> ConditionalWrite | None:
        """Return the write that settles a report.

        :param report: of a window without a settled one.
        """
        if self.next_offset is None:
            return None
        record = SettledRecord(self._era, report)
        key = report_key(report.window)
        return ConditionalWrite(key, encode_record(record), self.next_offset)

    def report_written(self, report: UsageReport, receipt: WriteReceipt) -> None:
        """Take in that a report was written.

        :param report: the report.
        :param receipt: where it stands.
        """
        if receipt.era == self._era:
            self._keep(report)

    # -- endpoints that are wanted

    def wanted_fleet(self, service: str) -> ServerFleet | None:
        """Return what endpoints of a service are wanted, None if nothing is decided.

        Nothing is before it stands in the store, where a successor finds it.
        """
        return self._fleets.get(service) if self._fleets_are_written else None

    def fleet_write(self, decided: Sequence[ServerFleet]) -> ConditionalWrite | None:
        """Return the write of what is wanted, None if there is nothing new to write.

        :param decided: of services of which nothing was decided before.
        """
        fleets = {each.service: each for each in decided} | self._fleets
        is_known = self._fleets_are_written and len(fleets) == len(self._fleets)
        if not fleets or is_known or self.next_offset is None:
            return None
        record = FleetRecord(tuple(fleets.values()))
        return ConditionalWrite(FLEET_KEY, encode_record(record), self.next_offset)


def _is_claim(record: KeyedRecord | UnreadableRecord) -> bool:
    return record.key == CLAIM_KEY and not isinstance(record, UnreadableRecord)


def _log_record(record: KeyedRecord | UnreadableRecord) -> LogRecord:
    """Return a record as the lease sees it; others only move its offset on."""
    payload = b''
    if isinstance(record, KeyedRecord) and record.key == CLAIM_KEY:
        payload = record.value or b''
    return LogRecord(record.offset, payload)
