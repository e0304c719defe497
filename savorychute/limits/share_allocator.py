"""Allocation of one organisation's limits by its home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.division import divide_equally
from savorychute.limits.share_grant import ShareGrant
from savorychute.limits.share_record import ShareCommitment, ShareRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.limits.limit_report import LimitReport
    from savorychute.limits.settings import LimitSettings
    from savorychute.limits.share_report import ShareReport

#: A holder that misses this many reports receives no new units.
LOST_AFTER_MISSED_REPORTS = 4


class ShareAllocator:
    """Divides an organisation's units between the instances that its callers use.

    The total is never exceeded by the sum of the units that are granted, those that may
    still be in use from earlier grants, and those that a previous home may have granted
    to members that have not reported.  Until all members have reported, only the
    reported units are divided.

    :param settings: durations and shares.
    :param organisation: name of the organisation.
    :param own_name: name of the home instance.
    :param total: number of units of the organisation.
    :param held: units of a previous home's grants that the home itself holds.
    :param expected: members that may hold shares of a previous home.
    :param last_loss_ms: when a member was last lost, or -1 for never.
    :param now_ms: the current time.
    """

    def __init__(
        self,
        settings: LimitSettings,
        organisation: str,
        own_name: str,
        total: int,
        held: int,
        expected: Iterable[str],
        last_loss_ms: int,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.organisation = organisation
        self.own_name = own_name
        self.total = total
        self._records: dict[str, ShareRecord] = {}
        self._unreported_until_ms: dict[str, int] = {}
        self._floors_unknown_until_ms = 0
        self._known_units = 0
        self._own_wanted = 0
        self._own_in_use = 0
        self._own_wants_spare = False
        self._targets: dict[str, int] = {}
        self._is_scarce = False
        self._sequence = 0
        self._divided_ms: int | None = None
        self._is_urgent = False
        self.add_unreported(expected, now_ms)
        self._known_units = held
        self.record_loss(last_loss_ms)

    @property
    def is_used(self) -> bool:
        """Whether any other instance holds or wants units."""
        return bool(self._records)

    def is_known(self, instance: str) -> bool:
        """Return whether the units that a member may use are accounted for.

        :param instance: name of the member.
        """
        return instance in self._records or instance in self._unreported_until_ms

    def add_unreported(self, members: Iterable[str], now_ms: int) -> None:
        """Add members that may hold shares unknown to this home.

        :param members: names of the new members.
        :param now_ms: the current time.
        """
        if not self._awaits_reports(now_ms):
            own = min(self.own_units(now_ms), self._targets.get(self.own_name, 0))
            others = self._committed_to_others(now_ms)
            self._known_units = others + max(own, self._own_in_use)
        for instance in members:
            if instance != self.own_name:
                until_ms = now_ms + self.settings.unreported_use_ms
                self._unreported_until_ms[instance] = until_ms

    def add_left_unreported(self, members: Iterable[str], now_ms: int) -> None:
        """Add members that left gracefully and may not have reported to this home.

        A leaving instance starts no new work and returns unused units, so only its work
        in progress is unknown, and that ends soon.  Waiting as long as for a lost
        member would stop an unused organisation for most of a minute each time its home
        is replaced.

        :param members: names of members that left recently.
        :param now_ms: the current time.
        """
        until_ms = now_ms + self.settings.left_ms
        for instance in members:
            if instance != self.own_name:
                self._unreported_until_ms.setdefault(instance, until_ms)

    def remove_terminated(self, instance: str) -> None:
        """Discard the units of a member that has terminated.

        :param instance: name of the member.
        """
        self._unreported_until_ms.pop(instance, None)
        self._records.pop(instance, None)

    def set_members(self, alive: frozenset[str], now_ms: int) -> None:
        """Record a loss if members disappeared before they reported.

        :param alive: names of the members that are alive.
        :param now_ms: the current time.
        """
        if self._unreported_until_ms.keys() - alive:
            self.record_loss(now_ms)

    def record_loss(self, last_loss_ms: int) -> None:
        """Record that a lost member may hold a floor.

        :param last_loss_ms: when a member was last lost, or -1 for never.
        """
        if last_loss_ms >= 0:
            self._floors_unknown_until_ms = max(
                self._floors_unknown_until_ms, last_loss_ms + self._floor_lifetime_ms()
            )

    def apply_report(
        self, instance: str, message: LimitReport, report: ShareReport, now_ms: int
    ) -> bool:
        """Apply a report; return whether it is new.

        :param instance: the reporting instance.
        :param message: the message that contains the report.
        :param report: its part for this organisation.
        :param now_ms: the current time.
        """
        record = self._records.get(instance)
        if record is None and not _has_content(report):
            self._unreported_until_ms.pop(instance, None)
            return False
        if record is None or record.epoch != message.epoch:
            record = self._records[instance] = ShareRecord(message.epoch)
        elif message.number <= record.number:
            return False
        before = record.committed(now_ms)
        is_less = report.wanted < record.wanted and self._has_shortage(now_ms)
        is_more = report.wanted > max(record.wanted, record.last_units())
        record.apply_report(message.number, report, self.settings, now_ms)
        if self._unreported_until_ms.pop(instance, None) is not None:
            self._known_units += record.committed(now_ms) - before
        has_freed = record.committed(now_ms) < before and self._has_shortage(now_ms)
        self._is_urgent = self._is_urgent or is_more or is_less or has_freed
        return True

    def set_own_demand(self, in_use: int, wanted: int, *, wants_spare: bool) -> None:
        """Set the home's own use and demand.

        :param in_use: number of requests in progress.
        :param wanted: units that its demand needs.
        :param wants_spare: whether spare units beyond that are wanted.
        """
        self._own_wants_spare = wants_spare
        self._is_urgent = self._is_urgent or wanted > max(
            self._own_wanted, self._targets.get(self.own_name, 0)
        )
        self._own_in_use = in_use
        self._own_wanted = wanted

    def own_floor(self, now_ms: int) -> int:
        """Return how many units the home may retain when it can no longer grant.

        :param now_ms: the current time.
        """
        floor = int(self.settings.floor_share * self.own_units(now_ms))
        return min(floor, self._floor_headroom(self.own_name, now_ms))

    def own_units(self, now_ms: int) -> int:
        """Return how many units the home itself may use.

        The home needs no grant for units that are not committed to other instances.

        :param now_ms: the current time.
        """
        headroom = self._available_total(now_ms) - self._committed_to_others(now_ms)
        if self._is_scarce and self._records:
            headroom = min(headroom, self._targets.get(self.own_name, 0))
        return max(0, headroom)

    def divide_if_due(self, now_ms: int) -> bool:
        """Divide the units again, unless the last division was too recent.

        :param now_ms: the current time.
        :returns: whether they were divided.
        """
        interval_ms = (
            self.settings.urgent_division_interval_ms
            if self._is_urgent
            else self.settings.division_interval_ms
        )
        if self._divided_ms is not None and now_ms - self._divided_ms < interval_ms:
            return False
        self._divided_ms = now_ms
        self._is_urgent = False
        self._divide(now_ms)
        return True

    def make_grant(self, instance: str, now_ms: int) -> tuple[int, int, ShareGrant]:
        """Return the epoch and report that a new grant responds to, and the grant.

        :param instance: a holder that has reported.
        :param now_ms: the current time.
        """
        record = self._records[instance]
        units = self._clip_target(instance, record, now_ms)
        floor = min(
            int(self.settings.floor_share * units),
            self._floor_headroom(instance, now_ms),
        )
        reclaims = units < record.last_units()
        self._sequence += 1
        ends_ms = record.received_ms + self.settings.unreported_use_ms
        floor_ends_ms = record.received_ms + self._floor_lifetime_ms()
        record.add_commitment(
            ShareCommitment(self._sequence, units, ends_ms, floor, floor_ends_ms)
        )
        grant = ShareGrant(
            self.organisation,
            self._sequence,
            reclaims and self._has_shortage(now_ms),
            units,
            floor,
        )
        return record.epoch, record.number, grant

    def list_push_targets(self, now_ms: int) -> list[str]:
        """Return the holders to which a grant should be sent unsolicited.

        :param now_ms: the current time.
        """
        is_short = self._has_shortage(now_ms)
        pushes = []
        for instance, record in self._records.items():
            before = record.last_units()
            exceeds_target = self._targets.get(instance, 0) < before
            can_receive_more = (
                record.wanted > before
                and self._clip_target(instance, record, now_ms) > before
            )
            if can_receive_more or (is_short and exceeds_target):
                pushes.append(instance)
        return pushes

    def list_unreported(self, now_ms: int) -> list[str]:
        """Return the members whose reports the home waits for.

        :param now_ms: the current time.
        """
        return list(self._unreported_until_ms) if self._awaits_reports(now_ms) else []

    def drop_expired_holders(self, now_ms: int) -> None:
        """Discard holders whose grants have all expired.

        :param now_ms: the current time.
        """
        for instance, record in list(self._records.items()):
            record.drop_expired(now_ms)
            age_ms = now_ms - record.received_ms
            if (
                record.committed(now_ms) == 0
                and age_ms > self.settings.unreported_use_ms
            ):
                del self._records[instance]

    def _has_shortage(self, now_ms: int) -> bool:
        """Return whether an instance lacks units to which it is entitled."""
        if self._own_wanted > self.own_units(now_ms):
            return True
        for instance, record in self._records.items():
            target = self._targets.get(instance, 0)
            if record.wanted > record.last_units() < target:
                return True
        return False

    def _floor_lifetime_ms(self) -> int:
        """Return how long a floor is counted from the report that it responds to."""
        return self.settings.floor_ms + self.settings.floor_overrun_ms

    def _awaits_reports(self, now_ms: int) -> bool:
        if not self._unreported_until_ms:
            return False
        if now_ms < max(self._unreported_until_ms.values()):
            return True
        self._unreported_until_ms.clear()
        return False

    def _available_total(self, now_ms: int) -> int:
        """Return the part of the total that is certainly not in use elsewhere."""
        if self._awaits_reports(now_ms):
            return min(self.total, self._known_units)
        if now_ms < self._floors_unknown_until_ms:
            floors = sum(r.floor(now_ms) for r in self._records.values())
            unknown = int(self.settings.floor_share * self.total) - floors
            return self.total - max(0, unknown)
        return self.total

    def _committed_to_others(self, now_ms: int) -> int:
        return sum(record.committed(now_ms) for record in self._records.values())

    def _clip_target(self, instance: str, record: ShareRecord, now_ms: int) -> int:
        """Return the target, or the part of it that can be granted now."""
        target = self._targets.get(instance, 0)
        committed = record.committed(now_ms)
        if target <= committed:
            return target
        others = self._committed_to_others(now_ms) + self._own_in_use
        headroom = self._available_total(now_ms) - others
        return min(target, committed + max(0, headroom))

    def _floor_headroom(self, instance: str, now_ms: int) -> int:
        """Return how large an instance's floor may be.

        While a lost member may hold a floor, floors are renewed but not raised.
        """
        if now_ms < self._floors_unknown_until_ms or self._awaits_reports(now_ms):
            record = self._records.get(instance)
            return 0 if record is None else record.floor(now_ms)
        others = sum(
            record.floor(now_ms)
            for name, record in self._records.items()
            if name != instance
        )
        return max(0, int(self.settings.floor_share * self.total) - others)

    def _divide(self, now_ms: int) -> None:
        report_ms = self.settings.report_interval_ms
        total = self._available_total(now_ms)
        demands = {self.own_name: max(self._own_wanted, self._own_in_use)}
        for instance, record in self._records.items():
            if now_ms - record.received_ms < LOST_AFTER_MISSED_REPORTS * report_ms:
                demands[instance] = max(record.wanted, record.in_use)
            else:
                total = max(0, total - record.committed(now_ms))
        self._is_scarce = sum(demands.values()) > total
        parts = self._divide_demands(total, demands, now_ms)
        spare = total - sum(parts.values())
        # The units of a holder that dies are unavailable to the others for a while, so
        # no holder receives more than half of the spare units.
        recipients = {
            instance: (spare + 1) // 2
            for instance, record in self._records.items()
            if record.wants_spare and instance in demands
        }
        if self._own_wants_spare or not recipients:
            recipients[self.own_name] = spare
        for instance, amount in divide_equally(spare, recipients).items():
            parts[instance] += amount
        self._targets = parts

    def _divide_demands(
        self, total: int, demands: dict[str, int], now_ms: int
    ) -> dict[str, int]:
        """Return the fair parts; with fewer units than instances, they alternate."""
        names = sorted(name for name, wanted in demands.items() if wanted > 0)
        if len(names) <= total:
            return divide_equally(total, demands)
        start = now_ms // self.settings.turn_ms * total % len(names)
        chosen = (names + names)[start : start + total]
        return {name: int(name in chosen) for name in demands}


def _has_content(report: ShareReport) -> bool:
    """Return whether any amount in a report is not zero."""
    return any((report.held, report.floor, report.in_use, report.wanted))
