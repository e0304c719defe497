"""The side of limits that reports and holds."""

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
    from savorychute.limits.share_book import ShareBook
    from savorychute.limits.share_holding import ShareHolding
    from savorychute.limits.share_report import ShareReport
    from savorychute.membership import MemberView


class ReportDesk:
    """Reports to organisations' homes and takes their grants.

    :param book: meters and holdings.
    """

    def __init__(self, book: ShareBook) -> None:
        self._book = book
        self._sent = SentReports()

    def send_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return the reports that are due, one message for each home.

        :param view: who is alive.
        :param now_ms: the time.
        """
        due: dict[str, list[ShareReport]] = {}
        for organisation in sorted(self._book.awake):
            holding = self._book.holdings.get(organisation)
            if holding is None:
                self._book.awake.discard(organisation)
                continue
            meter = self._book.meters[organisation]
            is_at_home = holding.home in ('', self._book.instance)
            if not is_at_home and self._is_due(holding, meter, now_ms):
                report = self._build(holding, meter, now_ms)
                due.setdefault(holding.home, []).append(report)
            elif meter.in_use == 0 and not self._book.is_recent(meter, now_ms):
                self._book.awake.discard(organisation)
        actions: list[Action] = []
        for home, reports in due.items():
            actions += send_to(home, self._write(reports, now_ms), view)
        self._sent.forget(now_ms - self._book.settings.grant_ms)
        return actions

    def receive_grant(
        self, sender: str, message: LimitGrant, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Put grants in force, and answer those that take units back.

        A grant counts from the report that it answers.  One that answers no
        recent report of this run could outlast the home's books.

        :param sender: the home.
        :param message: its grants.
        :param view: who is alive.
        :param now_ms: the time.
        """
        sent_ms = self._sent.sent_ms(message.report_number)
        if message.epoch != self._book.epoch or sent_ms is None:
            return []
        for grant in message.shares:
            holding = self._book.holdings.get(grant.organisation)
            if holding is None or holding.home != sender:
                continue
            holding.apply(
                message.home_epoch,
                grant,
                sent_ms + message.duration_ms,
                sent_ms + message.floor_ms,
            )
            self._book.awake.add(grant.organisation)
            if self._book.is_leaving:
                holding.give_up(self._book.meters[grant.organisation].in_use)
        return self.send_reports(view, now_ms)

    def receive_ask(
        self, sender: str, message: LimitAsk, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Report on organisations of which their home wants to know.

        :param sender: the home.
        :param message: its question.
        :param view: who is alive.
        :param now_ms: the time.
        """
        for organisation in message.organisations:
            holding = self._book.holdings.get(organisation)
            if holding is not None and holding.home == sender:
                holding.must_report = True
                self._book.awake.add(organisation)
        return self.send_reports(view, now_ms)

    def _write(self, reports: list[ShareReport], now_ms: int) -> LimitReport:
        electorate = self._book.electorate
        last_ms = electorate.last_loss_ms
        return LimitReport(
            self._book.epoch,
            self._sent.number(now_ms),
            tuple(reports),
            self._book.vetoers,
            electorate.list_lost_since(now_ms - self._book.settings.unknown_ms),
            -1 if last_ms < 0 else now_ms - last_ms,
        )

    def _build(
        self, holding: ShareHolding, meter: OrganisationMeter, now_ms: int
    ) -> ShareReport:
        report = holding.build_report(
            meter.in_use,
            meter.wanted(now_ms),
            now_ms,
            wants_spare=self._book.is_recent(meter, now_ms),
        )
        meter.was_refused = False
        return report

    def _is_due(
        self, holding: ShareHolding, meter: OrganisationMeter, now_ms: int
    ) -> bool:
        """Return whether an organisation's report is due.

        One that is not used is reported once to each new home, which waits for
        that, and when it is asked for.
        """
        if holding.must_report or holding.reported_ms is None:
            return True
        if self._book.is_leaving and meter.in_use != holding.reported_in_use:
            return True
        settings = self._book.settings
        age_ms = now_ms - holding.reported_ms
        if age_ms < settings.pressure_interval_ms:
            return False
        if holding.owes(meter.in_use, now_ms):
            return True
        wanted = meter.wanted(now_ms)
        if meter.was_refused and wanted > holding.reported_wanted:
            return True
        has_sunk = 2 * wanted < holding.reported_wanted
        if has_sunk and age_ms >= settings.sunk_interval_ms:
            return True
        is_used = self._book.is_recent(meter, now_ms) or meter.in_use > 0
        return is_used and age_ms >= settings.report_interval_ms
