"""The home's side of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.credits.division import (
    NOTHING_PRESSING,
    divide_by_tier,
    divide_equally,
    spread_over_endpoints,
)
from savorychute.credits.endpoint_level import EndpointLevel
from savorychute.credits.group_grant import GroupGrant
from savorychute.credits.holder_record import HolderRecord, Offer
from savorychute.credits.levels import add_tiers, has_grown, least_shift, sum_excess
from savorychute.credits.push_allowance import PushAllowance

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.credits.endpoint_load import EndpointLoad
    from savorychute.credits.group_holding import GroupHolding
    from savorychute.credits.group_report import GroupReport
    from savorychute.credits.settings import CreditSettings

#: An instance that is alive but has not reported for this many grants counts
#: no longer; its work is finished or cut by then.
FORGOTTEN_AFTER_GRANTS = 15

#: A grant must survive the loss of two reports.
REPORTS_OF_GRANT = 3


class GroupHome:
    """Divides a group's capacity between the instances that use it.

    What it has promised never exceeds the capacity: a level is raised only by
    what is promised to nobody, and what is taken back counts until its holder
    has acknowledged that, or until the grant has ended.

    After a change of the home the previous one's grants are unknown.  This is
    seen by members that have not reported yet.  Until all have, and at most
    for the life of a grant, only what is reported is divided, because whatever
    nobody has reported may be in use.

    :param settings: durations and shares.
    :param holding: the home's own use of the group.
    :param own: the home's name.
    :param expected: members that may hold credits of a previous home.
    :param now_ms: the time.
    """

    def __init__(
        self,
        settings: CreditSettings,
        holding: GroupHolding,
        own: str,
        expected: Iterable[str],
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.own = own
        self.scale = 1.0
        self.pressing_tier = NOTHING_PRESSING
        self.holding = holding
        self._capacities = holding.group.capacities
        self._records: dict[str, HolderRecord] = {}
        self._committed: dict[str, dict[int, int]] = {}
        self._totals = dict.fromkeys(self._capacities, 0)
        self._silent_until: dict[str, int] = {}
        self._targets: dict[str, dict[int, int]] = {}
        self._own_waiting: tuple[int, ...] = ()
        self._sequence = 0
        self._turn = 0
        self._divided_ms: int | None = None
        self._is_urgent = False
        self._has_held_back = False
        self._pushed_ms = now_ms
        self._allowance = PushAllowance(settings.pushes_per_s, now_ms)
        for instance in expected:
            if instance != own:
                self._silent_until[instance] = now_ms + settings.grant_ms
        self._known = {
            key: max(holding.level(key, now_ms) or 0, holding.in_use.get(key, 0))
            for key in self._capacities
        }

    def take_report(
        self, instance: str, epoch: int, number: int, report: GroupReport, now_ms: int
    ) -> bool:
        """Take in a report; return whether its demand is urgent.

        :param instance: the reporter.
        :param epoch: of its run.
        :param number: of its report.
        :param report: the part on this group.
        :param now_ms: the time.
        """
        record = self._records.get(instance)
        if record is None or record.epoch != epoch:
            record = self._records[instance] = HolderRecord(epoch)
        elif number <= record.number:
            return False
        is_urgent = has_grown(record.waiting, report.waiting)
        record.received_ms = now_ms
        record.take_report(
            number,
            report,
            own_sequence=report.sequence,
            held_until_ms=now_ms + self.settings.grant_ms,
        )
        before = dict(self._totals)
        self._recount(instance, now_ms)
        if self._silent_until.pop(instance, None) is not None:
            for key, total in self._totals.items():
                self._known[key] += total - before[key]
        has_freed = sum(self._totals.values()) < sum(before.values())
        return is_urgent or (has_freed and self.pressing_tier != NOTHING_PRESSING)

    def set_own_waiting(self, waiting: tuple[int, ...]) -> bool:
        """Note what waits at the home itself; return whether that is urgent.

        :param waiting: requests by tier.
        """
        is_urgent = has_grown(self._own_waiting, waiting)
        self._own_waiting = waiting
        return is_urgent

    def own_level(self, endpoint: int, now_ms: int) -> int:
        """Return how much the home itself may run at an endpoint.

        It needs no grant for what is promised to nobody.  While demand exceeds
        the capacity it keeps to its part like any other instance.

        :param endpoint: its hash.
        :param now_ms: the time.
        """
        room = self._capacity(endpoint, now_ms) - self._totals[endpoint]
        if self.pressing_tier != NOTHING_PRESSING and self._records:
            room = min(room, self._targets.get(self.own, {}).get(endpoint, 0))
        return max(0, room)

    def divide_if_due(self, now_ms: int, *, urgent: bool) -> bool:
        """Divide the capacity anew, unless that was done just now.

        :param now_ms: the time.
        :param urgent: whether demand has grown.
        :returns: whether it was divided.
        """
        self._is_urgent = self._is_urgent or urgent
        interval_ms = (
            self.settings.urgent_division_interval_ms
            if self._is_urgent
            else self.settings.division_interval_ms
        )
        if self._divided_ms is not None and now_ms - self._divided_ms < interval_ms:
            return False
        self._divided_ms = now_ms
        self._is_urgent = False
        for instance in list(self._records):
            self._recount(instance, now_ms)
        self._divide(now_ms)
        return True

    def granted_ms(self, instance: str) -> int:
        """Return when a holder was sent a grant last, or 0.

        :param instance: a holder that has reported.
        """
        return self._records[instance].granted_ms

    def make_grant(
        self, instance: str, loads: tuple[EndpointLoad, ...], now_ms: int
    ) -> tuple[int, int, GroupGrant]:
        """Return the epoch and report that a new grant answers, and the grant.

        :param instance: a holder that has reported.
        :param loads: load reports that go with it.
        :param now_ms: the time.
        """
        record = self._records[instance]
        targets = self._targets.get(instance, {})
        levels: dict[int, int] = {}
        for endpoint in self._capacities:
            level = self._clip(instance, endpoint, targets.get(endpoint, 0), now_ms)
            if level > 0:
                levels[endpoint] = level
        before = record.last_levels()
        takes_back = any(levels.get(key, 0) < level for key, level in before.items())
        self._sequence += 1
        record.granted_ms = now_ms
        expires_ms = record.received_ms + self.settings.grant_ms
        record.add_offer(Offer(self._sequence, expires_ms, levels))
        self._recount(instance, now_ms)
        grant = GroupGrant(
            group=self.holding.group.number,
            sequence=self._sequence,
            must_acknowledge=takes_back and self.pressing_tier != NOTHING_PRESSING,
            pressing_tier=self.pressing_tier,
            levels=tuple(EndpointLevel(key, level) for key, level in levels.items()),
            loads=loads,
            report_interval_ms=self._choose_interval_ms(),
        )
        return record.epoch, record.number, grant

    def list_pushes(self, now_ms: int) -> list[str]:
        """Return the holders to which a grant should go without their asking.

        Small shifts wait for the holders' next reports.  If somebody waits and
        lacks a good part of what it is due, then those that hold much more
        than their parts are told at once, and those that can have more too.

        :param now_ms: the time.
        """
        self._allowance.fill(now_ms)
        self._has_held_back = False
        self._pushed_ms = now_ms
        if not self._is_somebody_short(now_ms):
            return []
        shifts: list[tuple[int, str]] = []
        for instance, record in self._records.items():
            shift = self._measure_shift(instance, record, now_ms)
            if shift > 0:
                shifts.append((shift, instance))
        shifts.sort(reverse=True)
        chosen = shifts[: self._allowance.take(len(shifts))]
        self._has_held_back = len(chosen) < len(shifts)
        return [instance for _, instance in chosen]

    def may_push_again(self, now_ms: int) -> bool:
        """Return whether to look again for grants that had to wait.

        :param now_ms: the time.
        """
        age_ms = now_ms - self._pushed_ms
        return self._has_held_back and age_ms >= self.settings.push_retry_ms

    def list_silent(self, now_ms: int) -> list[str]:
        """Return the members whose reports the home waits for.

        :param now_ms: the time.
        """
        return list(self._silent_until) if self._is_locked(now_ms) else []

    def drop_lost(self, alive: frozenset[str], now_ms: int) -> None:
        """Forget instances that are gone, and those silent for very long.

        What a dead instance used is free, because endpoints saw its connections
        break.  One that was only cut off may go on to the end of its grant
        beside those who get its part; that is less than the life of a grant,
        since the loss was detected in the meantime.

        :param alive: the members that are alive or leaving.
        :param now_ms: the time.
        """
        for instance, record in list(self._records.items()):
            record.drop_expired(now_ms)
            age_ms = now_ms - record.received_ms
            is_silent = age_ms > FORGOTTEN_AFTER_GRANTS * self.settings.grant_ms
            if is_silent or instance not in alive:
                del self._records[instance]
                for endpoint, amount in self._committed.pop(instance, {}).items():
                    if endpoint in self._totals:
                        self._totals[endpoint] -= amount

    def total_committed(self, endpoint: int) -> int:
        """Return what others may run at an endpoint.

        :param endpoint: its hash.
        """
        return self._totals[endpoint]

    def _capacity(self, endpoint: int, now_ms: int) -> int:
        """Return what may be divided; while members are silent, what is known."""
        capacity = int(self._capacities[endpoint] * self.scale)
        if self._is_locked(now_ms):
            return min(capacity, self._known[endpoint])
        return capacity

    def _is_locked(self, now_ms: int) -> bool:
        while self._silent_until:
            instance, until_ms = next(iter(self._silent_until.items()))
            if now_ms < until_ms:
                return True
            del self._silent_until[instance]
        return False

    def _recount(self, instance: str, now_ms: int) -> None:
        """Bring the totals up to date with one holder."""
        before = self._committed.setdefault(instance, {})
        counted = self._records[instance].committed(now_ms)
        if counted == before:
            return
        for endpoint, amount in before.items():
            if endpoint in self._totals:
                self._totals[endpoint] -= amount
        for endpoint, amount in counted.items():
            if endpoint in self._totals:
                self._totals[endpoint] += amount
        self._committed[instance] = counted

    def _clip(self, instance: str, endpoint: int, target: int, now_ms: int) -> int:
        """Return *target*, or what can be granted of it now."""
        committed = self._committed[instance].get(endpoint, 0)
        if target <= committed:
            return target
        own = self.holding.in_use.get(endpoint, 0)
        room = self._capacity(endpoint, now_ms) - self._totals[endpoint] - own
        return min(target, committed + max(0, room))

    def _choose_interval_ms(self) -> int:
        """Return how often holders are to report, so that they are not too many."""
        settings = self.settings
        spread_ms = len(self._records) * MS_PER_S // settings.reports_per_s
        longest_ms = settings.grant_ms // REPORTS_OF_GRANT
        return max(settings.report_interval_ms, min(spread_ms, longest_ms))

    def _measure_shift(self, instance: str, record: HolderRecord, now_ms: int) -> int:
        """Return how much a grant would move, or 0 if too little."""
        targets = self._targets.get(instance, {})
        before = record.last_levels()
        excess = sum_excess(before, targets)
        if excess >= least_shift(before):
            return excess
        if not any(record.waiting):
            return 0
        granted = {
            key: self._clip(instance, key, target, now_ms)
            for key, target in targets.items()
        }
        raised = sum_excess(granted, before)
        return raised if raised >= least_shift(targets) else 0

    def _is_somebody_short(self, now_ms: int) -> bool:
        """Return whether a waiting instance lacks much of its part."""
        for instance, record in self._records.items():
            targets = self._targets.get(instance, {})
            lack = sum_excess(targets, record.last_levels())
            if any(record.waiting) and lack >= least_shift(targets):
                return True
        targets = self._targets.get(self.own, {})
        levels = {key: self.own_level(key, now_ms) for key in targets}
        lack = sum_excess(targets, levels)
        return any(self._own_waiting) and lack >= least_shift(targets)

    def _divide(self, now_ms: int) -> None:
        wants = {
            instance: add_tiers(record.running, record.waiting)
            for instance, record in self._records.items()
        }
        wants[self.own] = add_tiers(self.holding.list_running(), self._own_waiting)
        capacities = {key: self._capacity(key, now_ms) for key in self._capacities}
        capacity = sum(capacities.values())
        if capacity == 0:
            self._targets = {}
            return
        division = divide_by_tier(
            capacity,
            wants,
            reserve=max(1, int(capacity * self.settings.guaranteed_share)),
            hungry=self._take_turns(sorted(wants)),
        )
        self.pressing_tier = division.pressing_tier
        parts = dict(division.parts)
        spare = int(division.left * (1 - self.settings.float_share))
        takers = {i: spare for i in wants if self._wants_spare(i)}
        for instance, amount in divide_equally(spare, takers).items():
            parts[instance] += amount
        self._targets = spread_over_endpoints(parts, capacities)

    def _wants_spare(self, instance: str) -> bool:
        record = self._records.get(instance)
        return record is None or record.wants_spare

    def _take_turns(self, instances: list[str]) -> list[str]:
        """Return *instances* rotated, so that each is the first at some time."""
        self._turn += 1
        start = self._turn % len(instances)
        return instances[start:] + instances[:start]
