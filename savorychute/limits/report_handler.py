"""Reports to homes, and the shares that they grant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.send_peer import send_to
from savorychute.credits.sent_reports import SentReports
from savorychute.limits.limit_report import LimitReport

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.limits.limit_ask import LimitAsk
    from savorychute.limits.limit_grant import LimitGrant
    from savorychute.limits.organisation_meter import OrganisationMeter
    from savorychute.limits.share_holding import ShareHolding
    from savorychute.limits.share_report import ShareReport
    from savorychute.limits.share_table import ShareTable
    from savorychute.membership import MemberView


class ReportHandler:
    """Sends reports to the homes of organisations and applies their grants.

    :param shares: meters and holdings.
    """

    def __init__(self, shares: ShareTable) -> None:
        self._shares = shares
        self._sent = SentReports()

    def send_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return the reports that are due, one message for each home.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        due: dict[str, list[ShareReport]] = {}
        for organisation in sorted(self._shares.active):
            holding = self._shares.holdings.get(organisation)
            if holding is None:
                self._shares.active.discard(organisation)
                continue
            meter = self._shares.meters[organisation]
            is_own_home = holding.home in ('', self._shares.instance)
            if not is_own_home and self._is_due(holding, meter, now_ms):
                report = self._build_report(holding, meter, now_ms)
                due.setdefault(holding.home, []).append(report)
            elif meter.in_use == 0 and not self._shares.is_recently_used(meter, now_ms):
                self._shares.active.discard(organisation)
        actions: list[Action] = []
        for home, reports in due.items():
            actions += send_to(home, self._build_message(reports, now_ms), view)
        self._sent.discard_until(now_ms - self._shares.settings.grant_ms)
        return actions

    def receive_grant(
        self, sender: str, message: LimitGrant, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Put grants in force, and acknowledge those that reclaim units.

        The validity of a grant starts at the report that it responds to.  A grant that
        responds to no recent report of this process run is ignored, because it could
        outlast its entry in the home's records.

        :param sender: the home.
        :param message: its grants.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        sent_ms = self._sent.sent_ms(message.report_number)
        if message.epoch != self._shares.epoch or sent_ms is None:
            return []
        for grant in message.shares:
            holding = self._shares.holdings.get(grant.organisation)
            if holding is None or holding.home != sender:
                continue
            holding.apply(
                message.home_epoch,
                grant,
                sent_ms + message.duration_ms,
                sent_ms + message.floor_ms,
            )
            self._shares.active.add(grant.organisation)
            if self._shares.is_leaving:
                holding.shrink_to(self._shares.meters[grant.organisation].in_use)
        return self.send_reports(view, now_ms)

    def receive_report_request(
        self, sender: str, message: LimitAsk, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Report on the organisations that their home requests.

        :param sender: the home.
        :param message: its request.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        for organisation in message.organisations:
            holding = self._shares.holdings.get(organisation)
            if holding is not None and holding.home == sender:
                holding.must_report = True
                self._shares.active.add(organisation)
        return self.send_reports(view, now_ms)

    def _build_message(self, reports: list[ShareReport], now_ms: int) -> LimitReport:
        quorum = self._shares.quorum
        last_ms = quorum.last_loss_ms
        return LimitReport(
            self._shares.epoch,
            self._sent.assign_number(now_ms),
            tuple(reports),
            self._shares.vetoers,
            quorum.list_lost_since(now_ms - self._shares.settings.unreported_use_ms),
            -1 if last_ms < 0 else now_ms - last_ms,
        )

    def _build_report(
        self, holding: ShareHolding, meter: OrganisationMeter, now_ms: int
    ) -> ShareReport:
        report = holding.build_report(
            meter.in_use,
            meter.wanted(now_ms),
            now_ms,
            wants_spare=self._shares.is_recently_used(meter, now_ms),
        )
        meter.was_refused = False
        return report

    def _is_due(
        self, holding: ShareHolding, meter: OrganisationMeter, now_ms: int
    ) -> bool:
        """Return whether a report on an organisation is due.

        An unused organisation is reported once to each new home, which waits for this
        report, and whenever the home requests it.
        """
        if holding.must_report or holding.reported_ms is None:
            return True
        if self._shares.is_leaving and meter.in_use != holding.reported_in_use:
            return True
        settings = self._shares.settings
        age_ms = now_ms - holding.reported_ms
        if age_ms < settings.pressure_interval_ms:
            return False
        if holding.has_freed_units(meter.in_use, now_ms):
            return True
        wanted = meter.wanted(now_ms)
        if meter.was_refused and wanted > holding.reported_wanted:
            return True
        has_fallen = 2 * wanted < holding.reported_wanted
        if has_fallen and age_ms >= settings.sunk_interval_ms:
            return True
        is_used = self._shares.is_recently_used(meter, now_ms) or meter.in_use > 0
        return is_used and age_ms >= settings.report_interval_ms
