"""The side of credits that reports and holds."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.credits.credit_report import CreditReport
from savorychute.credits.send_peer import send_to
from savorychute.credits.sent_reports import SentReports

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.actions import Action
    from savorychute.credits.credit_ask import CreditAsk
    from savorychute.credits.credit_grant import CreditGrant
    from savorychute.credits.group_book import GroupBook
    from savorychute.credits.group_holding import GroupHolding
    from savorychute.credits.group_report import GroupReport
    from savorychute.credits.load_relay import LoadRelay
    from savorychute.membership import MemberView

#: Demand that has grown by this factor is reported at once.
GROWTH_FACTOR = 1.5


class ReportDesk:
    """Reports to homes and takes their grants.

    :param book: groups and holdings.
    :param relay: takes load reports that come with grants.
    :param epoch: of this instance's run.
    """

    def __init__(self, book: GroupBook, relay: LoadRelay, epoch: int) -> None:
        self.epoch = epoch
        self._book = book
        self._relay = relay
        self._sent = SentReports()

    def send_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return the reports that are due, one message for each home.

        :param view: who is alive.
        :param now_ms: the time.
        """
        due: dict[str, list[GroupReport]] = {}
        for holding in self._book.holdings.values():
            if holding.home in ('', self._book.instance):
                holding.must_report = False
                continue
            waiting = self._book.waiting(holding)
            if self._is_due(holding, waiting, now_ms):
                report = self._build(holding, waiting, now_ms)
                due.setdefault(holding.home, []).append(report)
        actions: list[Action] = []
        for home, reports in due.items():
            number = self._sent.number(now_ms)
            message = CreditReport(self.epoch, number, tuple(reports))
            actions += send_to(home, message, view)
        self._sent.forget(now_ms - self._book.settings.grant_ms)
        return actions

    def receive_grant(
        self, sender: str, message: CreditGrant, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Put grants in force, and answer those that take credit back.

        A grant counts from the report that it answers.  One that answers no
        recent report of this run could outlast the home's books.

        :param sender: the home.
        :param message: its grants.
        :param view: who is alive.
        :param now_ms: the time.
        """
        sent_ms = self._sent.sent_ms(message.report_number)
        if message.epoch != self.epoch or sent_ms is None:
            return []
        for grant in message.groups:
            holding = self._book.find(grant.group)
            if holding is None or holding.home != sender:
                continue
            expires_ms = sent_ms + message.duration_ms
            if holding.apply(message.home_epoch, grant, expires_ms):
                self._relay.take_loads(
                    holding.group, self._book.endpoints, grant.loads, now_ms
                )
            if self._book.is_leaving:
                holding.give_up_unused()
        return self.send_reports(view, now_ms)

    def receive_ask(
        self, sender: str, message: CreditAsk, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Report on groups of which their home wants to know.

        :param sender: the home.
        :param message: its question.
        :param view: who is alive.
        :param now_ms: the time.
        """
        for number in message.groups:
            holding = self._book.find(number)
            if holding is not None and holding.home == sender:
                holding.must_report = True
        return self.send_reports(view, now_ms)

    def _build(
        self, holding: GroupHolding, waiting: tuple[int, ...], now_ms: int
    ) -> GroupReport:
        holding.must_report = False
        holding.reported_ms = now_ms
        holding.reported_waiting = waiting
        wants_spare = self._book.wants_spare(holding, now_ms)
        return holding.build_report(waiting, now_ms, wants_spare=wants_spare)

    def _is_due(
        self, holding: GroupHolding, waiting: tuple[int, ...], now_ms: int
    ) -> bool:
        """Return whether a group's report is due.

        A group that is not used is reported once to each new home, which
        waits for that, and not again.
        """
        if holding.must_report or holding.reported_ms is None:
            return True
        settings = self._book.settings
        age_ms = now_ms - holding.reported_ms
        if age_ms >= settings.owing_interval_ms and holding.owes(now_ms):
            return True
        if any(waiting) and age_ms >= settings.pressure_interval_ms:
            before = holding.reported_waiting
            if _first(waiting) < _first(before):
                return True
            has_grown = sum(waiting) > GROWTH_FACTOR * sum(before) + 1
            if has_grown and age_ms >= settings.growth_interval_ms:
                return True
        if any(waiting) or holding.is_used:
            interval_ms = holding.report_interval_ms or settings.report_interval_ms
            return age_ms >= interval_ms
        is_interested = self._book.wants_spare(holding, now_ms)
        return is_interested and age_ms >= settings.idle_report_interval_ms


def _first(by_tier: Iterable[int]) -> float:
    """Return the highest tier with a count, or infinity."""
    return next((tier for tier, count in enumerate(by_tier) if count > 0), math.inf)
