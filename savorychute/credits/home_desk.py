"""The side of credits that divides and grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.credit_ask import CreditAsk
from savorychute.credits.credit_grant import CreditGrant
from savorychute.credits.group_home import GroupHome
from savorychute.credits.send_peer import send_to

if TYPE_CHECKING:
    from collections.abc import Collection

    from savorychute.actions import Action
    from savorychute.credits.credit_report import CreditReport
    from savorychute.credits.group_book import GroupBook
    from savorychute.credits.group_grant import GroupGrant
    from savorychute.credits.group_holding import GroupHolding
    from savorychute.credits.load_relay import LoadRelay
    from savorychute.credits.region_members import RegionMembers
    from savorychute.membership import MemberView


class HomeDesk:
    """The groups whose home this instance is.

    :param book: groups and holdings.
    :param members: of each region.
    :param relay: knows the endpoints' loads.
    :param epoch: of this instance's run.
    """

    def __init__(
        self, book: GroupBook, members: RegionMembers, relay: LoadRelay, epoch: int
    ) -> None:
        self._book = book
        self._members = members
        self._relay = relay
        self._epoch = epoch
        self._homes: dict[str, GroupHome] = {}
        self._asked_ms = 0

    def find(self, key: str) -> GroupHome | None:
        """Return the home's side of a group, if this instance is its home.

        :param key: of the group.
        """
        return self._homes.get(key)

    def close(self, key: str) -> None:
        """Be the home of a group no longer.

        :param key: of the group.
        """
        self._homes.pop(key, None)

    def open(self, holding: GroupHolding, now_ms: int) -> None:
        """Be the home of a group, if this instance is not yet.

        :param holding: of the group.
        :param now_ms: the time.
        """
        if holding.group.key in self._homes:
            return
        # Only who is alive may hold credits of the previous home.  What a dead
        # member used is free: endpoints saw its connections break.  If it was
        # only cut off, it may use its part for the rest of its grant, beside
        # those to whom the part is given now; that is bounded by the grant.
        expected = self._members.list_alive(holding.group.region)
        self._homes[holding.group.key] = GroupHome(
            self._book.settings, holding, self._book.instance, expected, now_ms
        )

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide what is due and send what has changed.

        :param view: who is alive.
        :param now_ms: the time.
        """
        pushes: dict[str, list[GroupHome]] = {}
        divided: list[GroupHome] = []
        present = frozenset(member.instance for member in view.alive) | view.leaving
        for key, home in self._homes.items():
            region = self._book.holdings[key].group.region
            home.scale = self._members.share_alive(region, now_ms)
            if self._divide(home, now_ms, pushes, urgent=False):
                divided.append(home)
        actions = self._push(pushes, view, now_ms)
        # Only now: a holder that is forgotten may be among those to be sent to.
        for home in divided:
            home.drop_lost(present, now_ms)
        actions += self._ask_silent(view, now_ms)
        return actions

    def receive_report(
        self, sender: str, message: CreditReport, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Take in a report and answer it.

        :param sender: the instance that reports.
        :param message: its report.
        :param view: who is alive.
        :param now_ms: the time.
        """
        pushes: dict[str, list[GroupHome]] = {}
        answered: list[GroupHome] = []
        for report in message.groups:
            holding = self._book.find(report.group)
            home = None if holding is None else self.find(holding.group.key)
            if home is None:
                continue
            if report.home_epoch != self._epoch:
                report = report._replace(sequence=0)
            urgent = home.take_report(
                sender, message.epoch, message.number, report, now_ms
            )
            self._divide(home, now_ms, pushes, urgent=urgent)
            answered.append(home)
        _add_missing(pushes.setdefault(sender, []), answered)
        return self._push(pushes, view, now_ms)

    def _ask_silent(self, view: MemberView, now_ms: int) -> list[Action]:
        """Ask members for the reports that this instance waits for.

        A member reports of itself when it sees a new home.  It does not see a
        home that has started anew under its old name.
        """
        if now_ms - self._asked_ms < self._book.settings.ask_interval_ms:
            return []
        self._asked_ms = now_ms
        silent: dict[str, list[int]] = {}
        for home in self._homes.values():
            for instance in home.list_silent(now_ms):
                silent.setdefault(instance, []).append(home.holding.group.number)
        actions: list[Action] = []
        for instance, groups in silent.items():
            actions += send_to(instance, CreditAsk(tuple(groups)), view)
        return actions

    def _divide(
        self,
        home: GroupHome,
        now_ms: int,
        pushes: dict[str, list[GroupHome]],
        *,
        urgent: bool,
    ) -> bool:
        holding = home.holding
        own_urgent = home.set_own_waiting(self._book.waiting(holding))
        is_divided = home.divide_if_due(now_ms, urgent=urgent or own_urgent)
        if is_divided or home.may_push_again(now_ms):
            holding.pressing_tier = home.pressing_tier
            for instance in home.list_pushes(now_ms):
                pushes.setdefault(instance, []).append(home)
        return is_divided

    def _push(
        self, pushes: dict[str, list[GroupHome]], view: MemberView, now_ms: int
    ) -> list[Action]:
        """Send grants, one message for all groups that answer one report."""
        actions: list[Action] = []
        for instance, homes in pushes.items():
            by_report: dict[tuple[int, int], list[GroupGrant]] = {}
            for home in homes:
                loads = self._relay.list_loads(
                    home.holding.group, home.granted_ms(instance), now_ms
                )
                epoch, number, grant = home.make_grant(instance, loads, now_ms)
                by_report.setdefault((epoch, number), []).append(grant)
            for (epoch, number), grants in by_report.items():
                duration_ms = self._book.settings.grant_ms
                message = CreditGrant(
                    self._epoch, epoch, number, duration_ms, tuple(grants)
                )
                actions += send_to(instance, message, view)
        return actions


def _add_missing(homes: list[GroupHome], answered: Collection[GroupHome]) -> None:
    homes.extend(home for home in answered if home not in homes)
