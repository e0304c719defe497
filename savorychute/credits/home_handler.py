"""Division of credits and grants by a home instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.credit_ask import CreditAsk
from savorychute.credits.credit_grant import CreditGrant
from savorychute.credits.group_allocator import GroupAllocator
from savorychute.credits.send_peer import send_to

if TYPE_CHECKING:
    from collections.abc import Collection

    from savorychute.actions import Action
    from savorychute.credits.credit_report import CreditReport
    from savorychute.credits.group_grant import GroupGrant
    from savorychute.credits.group_holding import GroupHolding
    from savorychute.credits.group_table import GroupTable
    from savorychute.credits.load_relay import LoadRelay
    from savorychute.credits.region_members import RegionMembers
    from savorychute.membership import MemberView


class HomeHandler:
    """Handles the groups whose home is this instance.

    :param groups: groups and holdings.
    :param members: members of each region.
    :param relay: source of the endpoints' load reports.
    :param epoch: epoch of this process run.
    """

    def __init__(
        self, groups: GroupTable, members: RegionMembers, relay: LoadRelay, epoch: int
    ) -> None:
        self._groups = groups
        self._members = members
        self._relay = relay
        self._epoch = epoch
        self._allocators: dict[str, GroupAllocator] = {}
        self._requested_ms = 0

    def find(self, key: str) -> GroupAllocator | None:
        """Return the allocator of a group, if this instance is its home.

        :param key: key of the group.
        """
        return self._allocators.get(key)

    def resign_home(self, key: str) -> None:
        """Stop being the home of a group.

        :param key: key of the group.
        """
        self._allocators.pop(key, None)

    def become_home(self, holding: GroupHolding, now_ms: int) -> None:
        """Become the home of a group, unless it is already.

        :param holding: holding of the group.
        :param now_ms: the current time.
        """
        if holding.group.key in self._allocators:
            return
        # Only members that are alive may hold credits of the previous home.  The
        # credits of a dead member are free, because endpoints have seen its connections
        # break.  A member that is only cut off by a network partition may use its part
        # until its grant expires, beside the instances that receive the part now; the
        # duration of a grant bounds this.
        expected = self._members.list_alive(holding.group.region)
        self._allocators[holding.group.key] = GroupAllocator(
            self._groups.settings, holding, self._groups.instance, expected, now_ms
        )

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide the credits that are due, and send changed grants.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        pushes: dict[str, list[GroupAllocator]] = {}
        divided: list[GroupAllocator] = []
        present = frozenset(member.instance for member in view.alive) | view.leaving
        for key, allocator in self._allocators.items():
            region = self._groups.holdings[key].group.region
            allocator.capacity_scale = self._members.alive_share(region, now_ms)
            if self._divide(allocator, now_ms, pushes, urgent=False):
                divided.append(allocator)
        actions = self._send_grants(pushes, view, now_ms)
        # Remove lost holders last: a grant may have been due to one of them.
        for allocator in divided:
            allocator.drop_lost_holders(present, now_ms)
        actions += self._request_reports(view, now_ms)
        return actions

    def receive_report(
        self, sender: str, message: CreditReport, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Apply a report and respond with grants.

        :param sender: the reporting instance.
        :param message: the report.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        pushes: dict[str, list[GroupAllocator]] = {}
        responding: list[GroupAllocator] = []
        for report in message.groups:
            holding = self._groups.find(report.group)
            allocator = None if holding is None else self.find(holding.group.key)
            if allocator is None:
                continue
            if report.home_epoch != self._epoch:
                report = report._replace(sequence=0)
            urgent = allocator.apply_report(
                sender, message.epoch, message.number, report, now_ms
            )
            self._divide(allocator, now_ms, pushes, urgent=urgent)
            responding.append(allocator)
        _add_missing(pushes.setdefault(sender, []), responding)
        return self._send_grants(pushes, view, now_ms)

    def _request_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        """Request the reports that this instance waits for.

        A member reports unprompted when it detects a new home.  It does not detect a
        home that has restarted under its old name.
        """
        if now_ms - self._requested_ms < self._groups.settings.ask_interval_ms:
            return []
        self._requested_ms = now_ms
        unreported: dict[str, list[int]] = {}
        for allocator in self._allocators.values():
            for instance in allocator.list_unreported(now_ms):
                unreported.setdefault(instance, []).append(
                    allocator.holding.group.number
                )
        actions: list[Action] = []
        for instance, groups in unreported.items():
            actions += send_to(instance, CreditAsk(tuple(groups)), view)
        return actions

    def _divide(
        self,
        allocator: GroupAllocator,
        now_ms: int,
        pushes: dict[str, list[GroupAllocator]],
        *,
        urgent: bool,
    ) -> bool:
        holding = allocator.holding
        is_own_urgent = allocator.set_own_waiting(self._groups.waiting(holding))
        is_divided = allocator.divide_if_due(now_ms, urgent=urgent or is_own_urgent)
        if is_divided or allocator.is_push_retry_due(now_ms):
            holding.pressing_tier = allocator.pressing_tier
            for instance in allocator.list_push_targets(now_ms):
                pushes.setdefault(instance, []).append(allocator)
        return is_divided

    def _send_grants(
        self, pushes: dict[str, list[GroupAllocator]], view: MemberView, now_ms: int
    ) -> list[Action]:
        """Send grants, one message for all that respond to the same report."""
        actions: list[Action] = []
        for instance, allocators in pushes.items():
            by_report: dict[tuple[int, int], list[GroupGrant]] = {}
            for allocator in allocators:
                loads = self._relay.list_loads(
                    allocator.holding.group, allocator.granted_ms(instance), now_ms
                )
                epoch, number, grant = allocator.make_grant(instance, loads, now_ms)
                by_report.setdefault((epoch, number), []).append(grant)
            for (epoch, number), grants in by_report.items():
                duration_ms = self._groups.settings.grant_ms
                message = CreditGrant(
                    self._epoch, epoch, number, duration_ms, tuple(grants)
                )
                actions += send_to(instance, message, view)
        return actions


def _add_missing(
    allocators: list[GroupAllocator], responding: Collection[GroupAllocator]
) -> None:
    allocators.extend(
        allocator for allocator in responding if allocator not in allocators
    )
