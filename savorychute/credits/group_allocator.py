"""Allocation of one group's capacity by its home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.credits.division import (
    NO_PRESSING_TIER,
    divide_by_tier,
    divide_equally,
    spread_over_endpoints,
)
from savorychute.credits.endpoint_level import EndpointLevel
from savorychute.credits.group_grant import GroupGrant
from savorychute.credits.holder_record import HolderRecord, SentGrant
from savorychute.credits.levels import add_tiers, has_grown, min_shift, sum_excess
from savorychute.credits.push_allowance import PushAllowance

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.credits.endpoint_load import EndpointLoad
    from savorychute.credits.group_holding import GroupHolding
    from savorychute.credits.group_report import GroupReport
    from savorychute.credits.settings import CreditSettings

#: An instance that is alive but has not reported for the duration of this many grants
#: is discarded; its work has finished or was cancelled by then.
EXPIRED_AFTER_GRANTS = 15

#: Number of reports per grant: a grant must survive the loss of two reports.
REPORTS_PER_GRANT = 3


class GroupAllocator:
    """Divides a group's capacity between the instances that use it.

    The committed capacity never exceeds the total: a level is raised only by capacity
    that is not committed, and reclaimed capacity stays committed until its holder has
    acknowledged the reclaim or the grant has expired.

    After a change of the home, the grants of the previous one are unknown.  The home
    detects this by members that have not reported yet.  Until all have reported, and at
    most for the duration of a grant, only reported capacity is divided, because the
    rest may be in use.

    :param settings: durations and shares.
    :param holding: the home's own use of the group.
    :param own_name: name of the home instance.
    :param expected: members that may hold credits of a previous home.
    :param now_ms: the current time.
    """

    def __init__(
        self,
        settings: CreditSettings,
        holding: GroupHolding,
        own_name: str,
        expected: Iterable[str],
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.own_name = own_name
        self.capacity_scale = 1.0
        self.pressing_tier = NO_PRESSING_TIER
        self.holding = holding
        self._capacities = holding.group.capacities
        self._records: dict[str, HolderRecord] = {}
        self._committed: dict[str, dict[int, int]] = {}
        self._totals = dict.fromkeys(self._capacities, 0)
        self._unreported_until_ms: dict[str, int] = {}
        self._targets: dict[str, dict[int, int]] = {}
        self._own_waiting: tuple[int, ...] = ()
        self._sequence = 0
        self._turn = 0
        self._divided_ms: int | None = None
        self._is_urgent = False
        self._has_deferred_pushes = False
        self._pushed_ms = now_ms
        self._push_allowance = PushAllowance(settings.pushes_per_s, now_ms)
        for instance in expected:
            if instance != own_name:
                self._unreported_until_ms[instance] = now_ms + settings.grant_ms
        self._known_levels = {
            key: max(
                (holding.level(key, now_ms) or 0) + holding.count_without_credit(key),
                holding.in_use.get(key, 0),
            )
            for key in self._capacities
        }

    def apply_report(
        self, instance: str, epoch: int, number: int, report: GroupReport, now_ms: int
    ) -> bool:
        """Apply a report; return whether its demand is urgent.

        :param instance: the reporting instance.
        :param epoch: epoch of its process run.
        :param number: number of the report.
        :param report: its part for this group.
        :param now_ms: the current time.
        """
        record = self._records.get(instance)
        if record is None or record.epoch != epoch:
            record = self._records[instance] = HolderRecord(epoch)
        elif number <= record.number:
            return False
        is_urgent = has_grown(record.waiting, report.waiting)
        record.received_ms = now_ms
        record.apply_report(
            number,
            report,
            own_sequence=report.sequence,
            held_until_ms=now_ms + self.settings.grant_ms,
        )
        before = dict(self._totals)
        self._recount(instance, now_ms)
        if self._unreported_until_ms.pop(instance, None) is not None:
            for key, total in self._totals.items():
                self._known_levels[key] += total - before[key]
        has_freed = sum(self._totals.values()) < sum(before.values())
        return is_urgent or (has_freed and self.pressing_tier != NO_PRESSING_TIER)

    def set_own_waiting(self, waiting: tuple[int, ...]) -> bool:
        """Set the requests that wait on the home; return whether they are urgent.

        :param waiting: number of requests by tier.
        """
        is_urgent = has_grown(self._own_waiting, waiting)
        self._own_waiting = waiting
        return is_urgent

    def own_level(self, endpoint: int, now_ms: int) -> int:
        """Return how many requests the home itself may run at an endpoint.

        The home needs no grant for capacity that is not committed to other instances.
        While demand exceeds the capacity, it is limited to its part like any other
        instance.

        :param endpoint: hash of the endpoint name.
        :param now_ms: the current time.
        """
        headroom = self._capacity(endpoint, now_ms) - self._totals[endpoint]
        if self.pressing_tier != NO_PRESSING_TIER and self._records:
            headroom = min(
                headroom, self._targets.get(self.own_name, {}).get(endpoint, 0)
            )
        return max(0, headroom - self.holding.count_without_credit(endpoint))

    def divide_if_due(self, now_ms: int, *, urgent: bool) -> bool:
        """Divide the capacity again, unless the last division was too recent.

        :param now_ms: the current time.
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
        """Return when a holder was last sent a grant, or 0.

        :param instance: a holder that has reported.
        """
        return self._records[instance].granted_ms

    def make_grant(
        self, instance: str, loads: tuple[EndpointLoad, ...], now_ms: int
    ) -> tuple[int, int, GroupGrant]:
        """Return the epoch and report that a new grant responds to, and the grant.

        :param instance: a holder that has reported.
        :param loads: load reports to send with the grant.
        :param now_ms: the current time.
        """
        record = self._records[instance]
        targets = self._targets.get(instance, {})
        levels: dict[int, int] = {}
        for endpoint in self._capacities:
            level = self._clip_target(
                instance, endpoint, targets.get(endpoint, 0), now_ms
            )
            if level > 0:
                levels[endpoint] = level
        before = record.last_levels()
        reclaims = any(levels.get(key, 0) < level for key, level in before.items())
        self._sequence += 1
        record.granted_ms = now_ms
        expires_ms = record.received_ms + self.settings.grant_ms
        record.add_grant(SentGrant(self._sequence, expires_ms, levels))
        self._recount(instance, now_ms)
        grant = GroupGrant(
            group=self.holding.group.number,
            sequence=self._sequence,
            must_acknowledge=reclaims and self.pressing_tier != NO_PRESSING_TIER,
            pressing_tier=self.pressing_tier,
            levels=tuple(EndpointLevel(key, level) for key, level in levels.items()),
            loads=loads,
            report_interval_ms=self._choose_report_interval_ms(),
        )
        return record.epoch, record.number, grant

    def list_push_targets(self, now_ms: int) -> list[str]:
        """Return the holders to which a grant should be sent unsolicited.

        Small shifts wait for the next reports of the holders.  If an instance with
        waiting requests lacks a large share of its part, grants are sent at once to
        holders that have much more than their parts and to those that can receive more.

        :param now_ms: the current time.
        """
        self._push_allowance.refill(now_ms)
        self._has_deferred_pushes = False
        self._pushed_ms = now_ms
        if not self._has_shortage(now_ms):
            return []
        shifts: list[tuple[int, str]] = []
        for instance, record in self._records.items():
            shift = self._measure_shift(instance, record, now_ms)
            if shift > 0:
                shifts.append((shift, instance))
        shifts.sort(reverse=True)
        chosen = shifts[: self._push_allowance.acquire(len(shifts))]
        self._has_deferred_pushes = len(chosen) < len(shifts)
        return [instance for _, instance in chosen]

    def is_push_retry_due(self, now_ms: int) -> bool:
        """Return whether to check again for grants that were deferred.

        :param now_ms: the current time.
        """
        age_ms = now_ms - self._pushed_ms
        return self._has_deferred_pushes and age_ms >= self.settings.push_retry_ms

    def list_unreported(self, now_ms: int) -> list[str]:
        """Return the members whose reports the home waits for.

        :param now_ms: the current time.
        """
        return list(self._unreported_until_ms) if self._awaits_reports(now_ms) else []

    def drop_lost_holders(self, alive: frozenset[str], now_ms: int) -> None:
        """Discard holders that are lost or have not reported for very long.

        The credits of a dead instance are free, because endpoints have seen its
        connections break.  An instance that is only cut off by a network partition may
        continue until its grant expires, beside the instances that receive its part;
        this takes less than the duration of a grant, because detecting the loss took
        part of it.

        :param alive: names of the members that are alive or leaving.
        :param now_ms: the current time.
        """
        for instance, record in list(self._records.items()):
            record.drop_expired(now_ms)
            age_ms = now_ms - record.received_ms
            is_expired = age_ms > EXPIRED_AFTER_GRANTS * self.settings.grant_ms
            if is_expired or instance not in alive:
                del self._records[instance]
                for endpoint, amount in self._committed.pop(instance, {}).items():
                    if endpoint in self._totals:
                        self._totals[endpoint] -= amount

    def total_committed(self, endpoint: int) -> int:
        """Return how many requests other instances may run at an endpoint.

        :param endpoint: hash of the endpoint name.
        """
        return self._totals[endpoint]

    def _capacity(self, endpoint: int, now_ms: int) -> int:
        """Return the divisible capacity; while reports are missing, the known part."""
        capacity = int(self._capacities[endpoint] * self.capacity_scale)
        if self._awaits_reports(now_ms):
            return min(capacity, self._known_levels[endpoint])
        return capacity

    def _awaits_reports(self, now_ms: int) -> bool:
        while self._unreported_until_ms:
            instance, until_ms = next(iter(self._unreported_until_ms.items()))
            if now_ms < until_ms:
                return True
            del self._unreported_until_ms[instance]
        return False

    def _recount(self, instance: str, now_ms: int) -> None:
        """Update the totals for one holder."""
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

    def _clip_target(
        self, instance: str, endpoint: int, target: int, now_ms: int
    ) -> int:
        """Return *target*, or the part of it that can be granted now."""
        committed = self._committed[instance].get(endpoint, 0)
        if target <= committed:
            return target
        own = self.holding.in_use.get(endpoint, 0)
        headroom = self._capacity(endpoint, now_ms) - self._totals[endpoint] - own
        return min(target, committed + max(0, headroom))

    def _choose_report_interval_ms(self) -> int:
        """Return the report interval of holders, which limits the rate of reports."""
        settings = self.settings
        spread_ms = len(self._records) * MS_PER_S // settings.reports_per_s
        longest_ms = settings.grant_ms // REPORTS_PER_GRANT
        return max(settings.report_interval_ms, min(spread_ms, longest_ms))

    def _measure_shift(self, instance: str, record: HolderRecord, now_ms: int) -> int:
        """Return how much a grant would shift, or 0 if that is too little."""
        targets = self._targets.get(instance, {})
        before = record.last_levels()
        excess = sum_excess(before, targets)
        if excess >= min_shift(before):
            return excess
        if not any(record.waiting):
            return 0
        granted = {
            key: self._clip_target(instance, key, target, now_ms)
            for key, target in targets.items()
        }
        raised = sum_excess(granted, before)
        return raised if raised >= min_shift(targets) else 0

    def _has_shortage(self, now_ms: int) -> bool:
        """Return whether an instance with waiting requests lacks much of its part."""
        for instance, record in self._records.items():
            targets = self._targets.get(instance, {})
            shortage = sum_excess(targets, record.last_levels())
            if any(record.waiting) and shortage >= min_shift(targets):
                return True
        targets = self._targets.get(self.own_name, {})
        levels = {key: self.own_level(key, now_ms) for key in targets}
        shortage = sum_excess(targets, levels)
        return any(self._own_waiting) and shortage >= min_shift(targets)

    def _divide(self, now_ms: int) -> None:
        demands = {
            instance: add_tiers(record.running, record.waiting)
            for instance, record in self._records.items()
        }
        demands[self.own_name] = add_tiers(
            self.holding.list_running(), self._own_waiting
        )
        capacities = {key: self._capacity(key, now_ms) for key in self._capacities}
        capacity = sum(capacities.values())
        if capacity == 0:
            self._targets = {}
            return
        division = divide_by_tier(
            capacity,
            demands,
            reserve=max(1, int(capacity * self.settings.guaranteed_share)),
            reserve_order=self._rotate(sorted(demands)),
        )
        self.pressing_tier = division.pressing_tier
        parts = dict(division.parts)
        spare = int(division.remaining * (1 - self.settings.float_share))
        recipients = {i: spare for i in demands if self._wants_spare(i)}
        for instance, amount in divide_equally(spare, recipients).items():
            parts[instance] += amount
        self._targets = spread_over_endpoints(parts, capacities)

    def _wants_spare(self, instance: str) -> bool:
        record = self._records.get(instance)
        return record is None or record.wants_spare

    def _rotate(self, instances: list[str]) -> list[str]:
        """Return *instances* rotated, so that each of them is first at some time."""
        self._turn += 1
        start = self._turn % len(instances)
        return instances[start:] + instances[:start]
