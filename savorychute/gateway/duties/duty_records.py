"""The records of the topic of duties, other than claims."""

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

# The largest difference between two instances' estimates of the true time.
MAX_CLOCK_SKEW_MS = 500
# The number of newest windows whose settled reports are kept.
MAX_REPORTS = 64


class DutyRecords:
    """The era, the settled reports and the desired endpoints.

    A report that was settled in an earlier era of the store may have been lost with the
    restore of an older copy. Only the instances that read it in its own era use it.
    """

    def __init__(self) -> None:
        self.era = -1
        # The offset to read from; None if the topic must be listed.
        self.next_offset: int | None = None
        self._era_start_ms = 0
        self._era_is_written = False
        self._reports: dict[int, UsageReport] = {}
        self._fleets: dict[str, ServerFleet] = {}
        self._fleets_are_written = False

    def start_era(self, era: int, true_ms: int) -> None:
        """Reset the state that belongs to an era of the store.

        :param era: the number of the new era.
        :param true_ms: the true time at which this instance first saw it.
        """
        self.era = era
        self._era_start_ms = true_ms
        self._era_is_written = False
        self._fleets_are_written = False

    def apply(self, records: Iterable[KeyedRecord | UnreadableRecord]) -> None:
        """Apply records of the current era in their order.

        :param records: records of the topic; they may come from any writer.
        """
        for record in records:
            self._apply_record(record)

    def _apply_record(self, record: KeyedRecord | UnreadableRecord) -> None:
        if isinstance(record, UnreadableRecord) or record.value is None:
            return
        if record.key == ERA_KEY:
            self._apply_era(record.value)
        elif record.key == FLEET_KEY:
            self._apply_fleets(record.value)
        elif is_report_key(record.key):
            self._apply_report(record.value)

    def _apply_era(self, value: bytes) -> None:
        record = decode_record(value, EraRecord)
        if record is not None and record.era == self.era:
            self._era_is_written = True
            self._era_start_ms = min(self._era_start_ms, record.since_ms)

    def _apply_fleets(self, value: bytes) -> None:
        """Store the desired endpoints.

        A record from an older copy may be outdated, but is never wrong.
        """
        record = decode_record(value, FleetRecord)
        if record is None:
            return
        for fleet in record.fleets:
            self._fleets.setdefault(fleet.service, fleet)
        self._fleets_are_written = len(record.fleets) == len(self._fleets)

    def _apply_report(self, value: bytes) -> None:
        """Store a report that was settled in the current era.

        A report of an earlier era is ignored. It may be a copy of a settled report, or
        a delayed write that settled nothing, and the two cannot be distinguished.
        """
        settled = decode_record(value, SettledRecord)
        if settled is not None and settled.era == self.era:
            self._retain_report(settled.report)

    def _retain_report(self, report: UsageReport) -> None:
        self._reports.setdefault(report.window, report)
        if len(self._reports) > MAX_REPORTS:
            del self._reports[min(self._reports)]

    # -- settled reports

    def settled_report(self, window: int) -> UsageReport | None:
        """Return the settled report of a window, or None if none is known.

        :param window: the number of the window.
        """
        return self._reports.get(window)

    def can_settle(self, window_end_ms: int) -> bool:
        """Return whether no report of a window can have been settled and then lost.

        A window that ended before the current era may have a report that the older copy
        lacks, and the platform must never get a second report for the same window.

        :param window_end_ms: the end of the window.
        """
        earliest_end_ms = self._era_start_ms + MAX_CLOCK_SKEW_MS
        return self.next_offset is not None and window_end_ms >= earliest_end_ms

    def era_write(self) -> ConditionalWrite | None:
        """Return the write of the current era's record, or None if it exists already.

        The record tells instances that start later how far back nothing was lost.
        """
        if self._era_is_written or self.next_offset is None:
            return None
        record = EraRecord(self.era, self._era_start_ms)
        return ConditionalWrite(ERA_KEY, encode_record(record), self.next_offset)

    def settle_write(self, report: UsageReport) -> ConditionalWrite | None:
        """Return the write that settles a report.

        :param report: the report of a window that has no settled report.
        """
        if self.next_offset is None:
            return None
        record = SettledRecord(self.era, report)
        key = report_key(report.window)
        return ConditionalWrite(key, encode_record(record), self.next_offset)

    def report_written(self, report: UsageReport, receipt: WriteReceipt) -> None:
        """Record that a report was written.

        :param report: the report.
        :param receipt: the position of its record.
        """
        if receipt.era == self.era:
            self._retain_report(report)

    # -- desired endpoints

    def desired_fleet(self, service: str) -> ServerFleet | None:
        """Return the desired endpoints of a service, or None if nothing is decided.

        A decision takes effect only once it is written to the store, where a successor
        finds it.
        """
        return self._fleets.get(service) if self._fleets_are_written else None

    def fleet_write(self, new_fleets: Sequence[ServerFleet]) -> ConditionalWrite | None:
        """Return the write of the desired endpoints, or None if nothing has changed.

        :param new_fleets: decisions for services that had none.
        """
        fleets = {each.service: each for each in new_fleets} | self._fleets
        is_unchanged = self._fleets_are_written and len(fleets) == len(self._fleets)
        if not fleets or is_unchanged or self.next_offset is None:
            return None
        record = FleetRecord(tuple(fleets.values()))
        return ConditionalWrite(FLEET_KEY, encode_record(record), self.next_offset)
