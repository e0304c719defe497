"""What the topic of duties says besides who holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.duties.conditional_write import ConditionalWrite
from savorychute.gateway.duties.duty_record import (
    ERA_KEY,
    FLEET_KEY,
    EraRecord,
    FleetRecord,
    SettledRecord,
    decode_record,
    encode_record,
    is_report_key,
    report_key,
)
from savorychute.gateway.store.unreadable_record import UnreadableRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from savorychute.gateway.duties.server_fleet import ServerFleet
    from savorychute.gateway.duties.usage_report import UsageReport
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.write_receipt import WriteReceipt

# Instances know the true time within this.
CLOCKS_APART_MS = 500
# Windows of which a settled report is remembered, the newest.
REPORTS_KEPT = 64


class DutyRecords:
    """The era, the settled reports and the endpoints that are wanted.

    A report that was settled in an earlier era of the store may be lost to all but those
    who read it then; it is used by these alone.
    """

    def __init__(self) -> None:
        self.era = -1
        # Where to read on; None to list the topic.
        self.next_offset: int | None = None
        self._era_since_ms = 0
        self._era_is_written = False
        self._reports: dict[int, UsageReport] = {}
        self._fleets: dict[str, ServerFleet] = {}
        self._fleets_are_written = False

    def begin_era(self, era: int, true_ms: int) -> None:
        """Take in that the store has begun an era.

        :param era: its number.
        :param true_ms: the true time at which it was first seen here.
        """
        self.era = era
        self._era_since_ms = true_ms
        self._era_is_written = False
        self._fleets_are_written = False

    def take(self, records: Iterable[KeyedRecord | UnreadableRecord]) -> None:
        """Take in records of this era, in their order.

        :param records: of the topic; anybody may have written them.
        """
        for record in records:
            self._take(record)

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
        known = decode_record(value, EraRecord)
        if known is not None and known.era == self.era:
            self._era_is_written = True
            self._era_since_ms = min(self._era_since_ms, known.since_ms)

    def _take_fleets(self, value: bytes) -> None:
        """Keep what endpoints are wanted; a copy may hold an older word, but no wrong one."""
        record = decode_record(value, FleetRecord)
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
        settled = decode_record(value, SettledRecord)
        if settled is not None and settled.era == self.era:
            self._keep(settled.report)

    def _keep(self, report: UsageReport) -> None:
        self._reports.setdefault(report.window, report)
        if len(self._reports) > REPORTS_KEPT:
            del self._reports[min(self._reports)]

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
        record = EraRecord(self.era, self._era_since_ms)
        return ConditionalWrite(ERA_KEY, encode_record(record), self.next_offset)

    def settle_write(self, report: UsageReport) -> ConditionalWrite | None:
        """Return the write that settles a report.

        :param report: of a window without a settled one.
        """
        if self.next_offset is None:
            return None
        record = SettledRecord(self.era, report)
        key = report_key(report.window)
        return ConditionalWrite(key, encode_record(record), self.next_offset)

    def report_written(self, report: UsageReport, receipt: WriteReceipt) -> None:
        """Take in that a report was written.

        :param report: the report.
        :param receipt: where it stands.
        """
        if receipt.era == self.era:
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
