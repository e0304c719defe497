"""Reports to homes, and the credits that they grant."""

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
    from savorychute.credits.group_holding import GroupHolding
    from savorychute.credits.group_report import GroupReport
    from savorychute.credits.group_table import GroupTable
    from savorychute.credits.load_relay import LoadRelay
    from savorychute.membership import MemberView

#: Demand that has grown by this factor is reported before the next regular report.
GROWTH_FACTOR = 1.5


class ReportHandler:
    """Sends reports to the homes of groups and applies their grants.

    :param groups: groups and holdings.
    :param relay: receives the load reports that are sent with grants.
    :param epoch: epoch of this process run.
    """

    def __init__(self, groups: GroupTable, relay: LoadRelay, epoch: int) -> None:
        self.epoch = epoch
        self._groups = groups
        self._relay = relay
        self._sent = SentReports()

    def send_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return the reports that are due, one message for each home.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        due: dict[str, list[GroupReport]] = {}
        for holding in self._groups.holdings.values():
            if holding.home in ('', self._groups.instance):
                holding.must_report = False
                continue
            waiting = self._groups.waiting(holding)
            if self._is_due(holding, waiting, now_ms):
                report = self._build_report(holding, waiting, now_ms)
                due.setdefault(holding.home, []).append(report)
        actions: list[Action] = []
        for home, reports in due.items():
            number = self._sent.assign_number(now_ms)
            message = CreditReport(self.epoch, number, tuple(reports))
            actions += send_to(home, message, view)
        self._sent.discard_until(now_ms - self._groups.settings.grant_ms)
        return actions

    def receive_grant(
        self, sender: str, message: CreditGrant, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Put grants in force, and acknowledge those that reclaim credit.

        The validity of a grant starts at the report that it responds to.  A grant that
        responds to no recent report of this process run is ignored, because it could
        outlast its entry in the home's records.

        :param sender: the home.
        :param message: its grants.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        sent_ms = self._sent.sent_ms(message.report_number)
        if message.epoch != self.epoch or sent_ms is None:
            return []
        for grant in message.groups:
            holding = self._groups.find(grant.group)
            if holding is None or holding.home != sender:
                continue
            expires_ms = sent_ms + message.duration_ms
            if holding.apply(message.home_epoch, grant, expires_ms):
                self._relay.receive_loads(
                    holding.group, self._groups.endpoints, grant.loads, now_ms
                )
            if self._groups.is_leaving:
                holding.release_unused()
        return self.send_reports(view, now_ms)

    def receive_report_request(
        self, sender: str, message: CreditAsk, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Report on the groups that their home requests.

        :param sender: the home.
        :param message: its request.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        for number in message.groups:
            holding = self._groups.find(number)
            if holding is not None and holding.home == sender:
                holding.must_report = True
        return self.send_reports(view, now_ms)

    def _build_report(
        self, holding: GroupHolding, waiting: tuple[int, ...], now_ms: int
    ) -> GroupReport:
        holding.must_report = False
        holding.reported_ms = now_ms
        holding.reported_waiting = waiting
        wants_spare = self._groups.wants_spare(holding, now_ms)
        return holding.build_report(waiting, now_ms, wants_spare=wants_spare)

    def _is_due(
        self, holding: GroupHolding, waiting: tuple[int, ...], now_ms: int
    ) -> bool:
        """Return whether a report on a group is due.

        An unused group is reported only once to each new home, which waits for this
        report.
        """
        if holding.must_report or holding.reported_ms is None:
            return True
        settings = self._groups.settings
        age_ms = now_ms - holding.reported_ms
        if age_ms >= settings.owing_interval_ms and holding.has_freed_credit(now_ms):
            return True
        if any(waiting) and age_ms >= settings.pressure_interval_ms:
            before = holding.reported_waiting
            if _highest_tier(waiting) < _highest_tier(before):
                return True
            has_grown = sum(waiting) > GROWTH_FACTOR * sum(before) + 1
            if has_grown and age_ms >= settings.growth_interval_ms:
                return True
        if any(waiting) or holding.is_used:
            interval_ms = holding.report_interval_ms or settings.report_interval_ms
            return age_ms >= interval_ms
        is_interested = self._groups.wants_spare(holding, now_ms)
        return is_interested and age_ms >= settings.idle_report_interval_ms


def _highest_tier(by_tier: Iterable[int]) -> float:
    """Return the highest tier with a count, or infinity."""
    return next((tier for tier, count in enumerate(by_tier) if count > 0), math.inf)
