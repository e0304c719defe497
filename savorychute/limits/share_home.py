"""The home's side of one organisation's limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.division import divide_equally
from savorychute.limits.share_grant import ShareGrant
from savorychute.limits.share_record import ShareOffer, ShareRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.limits.limit_report import LimitReport
    from savorychute.limits.settings import LimitSettings
    from savorychute.limits.share_report import ShareReport

#: A holder that misses this many reports gets nothing new.
LOST_AFTER_REPORTS = 4


class ShareHome:
    """Divides an organisation's units between the instances that its callers use.

    The sum of what is granted, of what may still be in use of it, and of what
    a previous home may have granted to members that have not reported, never
    exceeds the total.  Until all members have reported, only what they have
    reported is divided.

    :param settings: durations and shares.
    :param organisation: whose limits these are.
    :param own: the home's name.
    :param total: the organisation's units.
    :param held: what the home itself holds of a previous home's grants.
    :param expected: members that may hold shares of a previous home.
    :param last_loss_ms: when a member was lost last, or -1.
    :param now_ms: the time.
    """

    def __init__(
        self,
        settings: LimitSettings,
        organisation: str,
        own: str,
        total: int,
        held: int,
        expected: Iterable[str],
        last_loss_ms: int,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.organisation = organisation
        self.own = own
        self.total = total
        self._records: dict[str, ShareRecord] = {}
        self._silent_until: dict[str, int] = {}
        self._floors_unknown_until_ms = 0
        self._known = 0
        self._own_wanted = 0
        self._own_in_use = 0
        self._own_wants_spare = False
        self._targets: dict[str, int] = {}
        self._is_scarce = False
        self._sequence = 0
        self._divided_ms: int | None = None
        self._is_urgent = False
        self.expect(expected, now_ms)
        self._known = held
        self.note_loss(last_loss_ms)

    @property
    def is_used(self) -> bool:
        """Whether any other instance holds or wants something."""
        return bool(self._records)

    def knows(self, instance: str) -> bool:
        """Return whether what a member may use is in the books.

        :param instance: a member.
        """
        return instance in self._records or instance in self._silent_until

    def expect(self, members: Iterable[str], now_ms: int) -> None:
        """Note members that may hold shares this home does not know of.

        :param members: that were not there before.
        :param now_ms: the time.
        """
        if not self._is_locked(now_ms):
            own = min(self.own_units(now_ms), self._targets.get(self.own, 0))
            others = self._committed_to_others(now_ms)
            self._known = others + max(own, self._own_in_use)
        for instance in members:
            if instance != self.own:
                until_ms = now_ms + self.settings.unknown_ms
                self._silent_until[instance] = until_ms

    def expect_left(self, members: Iterable[str], now_ms: int) -> None:
        """Note members that left gracefully and may not have reported here.

        A leaving instance starts nothing new and gives back what it does not
        use, so only its work in progress is unknown, and that ends soon.
        Waiting for it as for a lost one would stop an organisation nobody used for
        most of a minute, each time its home is replaced.

        :param members: that left lately.
        :param now_ms: the time.
        """
        until_ms = now_ms + self.settings.left_ms
        for instance in members:
            if instance != self.own:
                self._silent_until.setdefault(instance, until_ms)

    def forget_gone(self, instance: str) -> None:
        """Forget what a member held that has ended for good.

        :param instance: its name.
        """
        self._silent_until.pop(instance, None)
        self._records.pop(instance, None)

    def follow_members(self, alive: frozenset[str], now_ms: int) -> None:
        """Note members that were lost before they reported.

        :param alive: who is there.
        :param now_ms: the time.
        """
        if self._silent_until.keys() - alive:
            self.note_loss(now_ms)

    def note_loss(self, last_loss_ms: int) -> None:
        """Note that a lost member may hold a floor.

        :param last_loss_ms: when a member was lost last, or -1 for never.
        """
        if last_loss_ms >= 0:
            self._floors_unknown_until_ms = max(
                self._floors_unknown_until_ms, last_loss_ms + self._count_floor_ms()
            )

    def take_report(
        self, instance: str, message: LimitReport, report: ShareReport, now_ms: int
    ) -> bool:
        """Take in a report; return whether it is new.

        :param instance: the reporter.
        :param message: the report.
        :param report: its part on this organisation.
        :param now_ms: the time.
        """
        record = self._records.get(instance)
        if record is None and not _has_content(report):
            self._silent_until.pop(instance, None)
            return False
        if record is None or record.epoch != message.epoch:
            record = self._records[instance] = ShareRecord(message.epoch)
        elif message.number <= record.number:
            return False
        before = record.committed(now_ms)
        is_less = report.wanted < record.wanted and self._is_short(now_ms)
        is_more = report.wanted > max(record.wanted, record.last_units())
        record.take_report(message.number, report, self.settings, now_ms)
        if self._silent_until.pop(instance, None) is not None:
            self._known += record.committed(now_ms) - before
        has_freed = record.committed(now_ms) < before and self._is_short(now_ms)
        self._is_urgent = self._is_urgent or is_more or is_less or has_freed
        return True

    def set_own(self, in_use: int, wanted: int, *, wants_spare: bool) -> None:
        """Note the home's own use and demand.

        :param in_use: requests in progress.
        :param wanted: units that its demand needs.
        :param wants_spare: whether more than that is welcome.
        """
        self._own_wants_spare = wants_spare
        self._is_urgent = self._is_urgent or wanted > max(
            self._own_wanted, self._targets.get(self.own, 0)
        )
        self._own_in_use = in_use
        self._own_wanted = wanted

    def own_floor(self, now_ms: int) -> int:
        """Return how much the home may keep when it can grant no longer.

        :param now_ms: the time.
        """
        floor = int(self.settings.floor_share * self.own_units(now_ms))
        return min(floor, self._floor_room(self.own, now_ms))

    def own_units(self, now_ms: int) -> int:
        """Return how many units the home itself may use.

        It needs no grant for what is promised to nobody.

        :param now_ms: the time.
        """
        room = self._total_now(now_ms) - self._committed_to_others(now_ms)
        if self._is_scarce and self._records:
            room = min(room, self._targets.get(self.own, 0))
        return max(0, room)

    def divide_if_due(self, now_ms: int) -> bool:
        """Divide the units anew, unless that was done just now.

        :param now_ms: the time.
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
        """Return the epoch and report that a new grant answers, and the grant.

        :param instance: a holder that has reported.
        :param now_ms: the time.
        """
        record = self._records[instance]
        units = self._clip(instance, record, now_ms)
        floor = min(
            int(self.settings.floor_share * units), self._floor_room(instance, now_ms)
        )
        takes_back = units < record.last_units()
        self._sequence += 1
        ends_ms = record.received_ms + self.settings.unknown_ms
        floor_ends_ms = record.received_ms + self._count_floor_ms()
        record.add_offer(
            ShareOffer(self._sequence, units, ends_ms, floor, floor_ends_ms)
        )
        grant = ShareGrant(
            self.organisation,
            self._sequence,
            takes_back and self._is_short(now_ms),
            units,
            floor,
        )
        return record.epoch, record.number, grant

    def list_pushes(self, now_ms: int) -> list[str]:
        """Return the holders to which a grant should go without their asking.

        :param now_ms: the time.
        """
        is_short = self._is_short(now_ms)
        pushes = []
        for instance, record in self._records.items():
            before = record.last_units()
            has_too_much = self._targets.get(instance, 0) < before
            can_have_more = (
                record.wanted > before and self._clip(instance, record, now_ms) > before
            )
            if can_have_more or (is_short and has_too_much):
                pushes.append(instance)
        return pushes

    def list_silent(self, now_ms: int) -> list[str]:
        """Return the members whose reports the home waits for.

        :param now_ms: the time.
        """
        return list(self._silent_until) if self._is_locked(now_ms) else []

    def drop_lost(self, now_ms: int) -> None:
        """Forget holders of which nothing is in force any more.

        :param now_ms: the time.
        """
        for instance, record in list(self._records.items()):
            record.drop_ended(now_ms)
            age_ms = now_ms - record.received_ms
            if record.committed(now_ms) == 0 and age_ms > self.settings.unknown_ms:
                del self._records[instance]

    def _is_short(self, now_ms: int) -> bool:
        """Return whether somebody lacks units that are due to it."""
        if self._own_wanted > self.own_units(now_ms):
            return True
        for instance, record in self._records.items():
            target = self._targets.get(instance, 0)
            if record.wanted > record.last_units() < target:
                return True
        return False

    def _count_floor_ms(self) -> int:
        """Return how long a floor counts from the report that it answers."""
        return self.settings.floor_ms + self.settings.floor_tail_ms

    def _is_locked(self, now_ms: int) -> bool:
        if not self._silent_until:
            return False
        if now_ms < max(self._silent_until.values()):
            return True
        self._silent_until.clear()
        return False

    def _total_now(self, now_ms: int) -> int:
        """Return how much of the total is known not to be in use elsewhere."""
        if self._is_locked(now_ms):
            return min(self.total, self._known)
        if now_ms < self._floors_unknown_until_ms:
            floors = sum(r.floor(now_ms) for r in self._records.values())
            unknown = int(self.settings.floor_share * self.total) - floors
            return self.total - max(0, unknown)
        return self.total

    def _committed_to_others(self, now_ms: int) -> int:
        return sum(record.committed(now_ms) for record in self._records.values())

    def _clip(self, instance: str, record: ShareRecord, now_ms: int) -> int:
        """Return the target, or what can be granted of it now."""
        target = self._targets.get(instance, 0)
        committed = record.committed(now_ms)
        if target <= committed:
            return target
        others = self._committed_to_others(now_ms) + self._own_in_use
        room = self._total_now(now_ms) - others
        return min(target, committed + max(0, room))

    def _floor_room(self, instance: str, now_ms: int) -> int:
        """Return how large an instance's floor may be.

        While a lost member may hold one, floors are renewed but not raised.
        """
        if now_ms < self._floors_unknown_until_ms or self._is_locked(now_ms):
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
        total = self._total_now(now_ms)
        wants = {self.own: max(self._own_wanted, self._own_in_use)}
        for instance, record in self._records.items():
            if now_ms - record.received_ms < LOST_AFTER_REPORTS * report_ms:
                wants[instance] = max(record.wanted, record.in_use)
            else:
                total = max(0, total - record.committed(now_ms))
        self._is_scarce = sum(wants.values()) > total
        parts = self._divide_wants(total, wants, now_ms)
        spare = total - sum(parts.values())
        # What a holder has is out of reach of the others for a while if it dies,
        # so nobody gets more than half of what is spare.
        takers = {
            instance: (spare + 1) // 2
            for instance, record in self._records.items()
            if record.wants_spare and instance in wants
        }
        if self._own_wants_spare or not takers:
            takers[self.own] = spare
        for instance, amount in divide_equally(spare, takers).items():
            parts[instance] += amount
        self._targets = parts

    def _divide_wants(
        self, total: int, wants: dict[str, int], now_ms: int
    ) -> dict[str, int]:
        """Return the fair parts; with too few units for all, they take turns."""
        names = sorted(name for name, wanted in wants.items() if wanted > 0)
        if len(names) <= total:
            return divide_equally(total, wants)
        start = now_ms // self.settings.turn_ms * total % len(names)
        chosen = (names + names)[start : start + total]
        return {name: int(name in chosen) for name in wants}


def _has_content(report: ShareReport) -> bool:
    """Return whether a report says more than that there is nothing."""
    return any((report.held, report.floor, report.in_use, report.wanted))
