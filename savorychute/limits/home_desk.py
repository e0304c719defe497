"""The side of limits that divides and grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.send_peer import send_to
from savorychute.limits.limit_ask import LimitAsk
from savorychute.limits.limit_grant import LimitGrant
from savorychute.limits.share_home import ShareHome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.actions import Action
    from savorychute.limits.limit_report import LimitReport
    from savorychute.limits.share_book import ShareBook
    from savorychute.limits.share_grant import ShareGrant
    from savorychute.membership import MemberView


class HomeDesk:
    """The organisations whose home this instance is.

    :param book: meters and holdings.
    """

    def __init__(self, book: ShareBook) -> None:
        self._book = book
        self._homes: dict[str, ShareHome] = {}
        self._asked_ms = 0

    def find(self, organisation: str) -> ShareHome | None:
        """Return the home's side of an organisation, if this instance is its home.

        :param organisation: whose limits they are.
        """
        return self._homes.get(organisation)

    def follow_meters(self) -> None:
        """Follow amended contracts, and forget organisations that are gone."""
        meters = self._book.meters
        self._homes = {c: home for c, home in self._homes.items() if c in meters}
        for organisation, home in self._homes.items():
            home.total = meters[organisation].total

    def open(self, organisation: str, now_ms: int) -> None:
        """Be the home of an organisation, if this instance is not yet.

        :param organisation: whose limits they are.
        :param now_ms: the time.
        """
        if organisation in self._homes:
            return
        book = self._book
        meter = book.meters[organisation]
        home = ShareHome(
            book.settings,
            organisation,
            book.instance,
            meter.total,
            max(book.holdings[organisation].units(now_ms), meter.in_use),
            [
                *sorted(book.electorate.alive),
                *book.electorate.list_lost(),
            ],
            book.electorate.last_loss_ms,
            now_ms,
        )
        home.expect_left(
            book.electorate.list_left(now_ms - book.settings.left_ms), now_ms
        )
        self._homes[organisation] = home

    def close(self, organisation: str, now_ms: int) -> None:
        """Be the home no longer, and keep only a floor of the own share.

        Another home may divide the rest from now on.

        :param organisation: whose limits they are.
        :param now_ms: the time.
        """
        home = self._homes.pop(organisation, None)
        if home is not None:
            ends_ms = now_ms + self._book.settings.floor_ms
            holding = self._book.holdings[organisation]
            holding.keep_floor(home.own_floor(now_ms), ends_ms)

    def follow_members(self, fresh: frozenset[str], now_ms: int) -> None:
        """Note members that came and went.

        :param fresh: those that came.
        :param now_ms: the time.
        """
        for home in self._homes.values():
            home.follow_members(self._book.electorate.alive, now_ms)
            if fresh:
                home.expect(sorted(fresh), now_ms)

    def forget_gone(self, gone: Iterable[str]) -> None:
        """Wait no longer for members that the platform says have ended.

        :param gone: their names.
        """
        for instance in gone:
            for home in self._homes.values():
                home.forget_gone(instance)

    def note_losses(self, losses: Iterable[str], now_ms: int) -> None:
        """Note members of which others say that they were lost.

        :param losses: their names.
        :param now_ms: the time.
        """
        for home in self._homes.values():
            home.note_loss(self._book.electorate.told_loss_ms)
            unknown = [i for i in losses if not home.knows(i)]
            if unknown:
                home.expect(unknown, now_ms)
                home.note_loss(now_ms)

    def own_units(self, home: ShareHome, now_ms: int) -> int:
        """Return how many units this instance may use itself.

        :param home: of the organisation.
        :param now_ms: the time.
        """
        self._set_own(home, now_ms)
        return home.own_units(now_ms)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide what is due and send what has changed.

        :param view: who is alive.
        :param now_ms: the time.
        """
        pushes: dict[str, list[ShareHome]] = {}
        for organisation, home in self._homes.items():
            if home.is_used or organisation in self._book.awake:
                home.drop_lost(now_ms)
                self._divide(home, pushes, now_ms)
        return self._push(pushes, view, now_ms) + self._ask_silent(view, now_ms)

    def receive_report(
        self, sender: str, message: LimitReport, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Take in a report and answer it.

        :param sender: the instance that reports.
        :param message: its report.
        :param view: who is alive.
        :param now_ms: the time.
        """
        pushes: dict[str, list[ShareHome]] = {}
        answered: list[ShareHome] = []
        for report in message.shares:
            home = self._homes.get(report.organisation)
            if home is None:
                continue
            if report.home_epoch != self._book.epoch:
                report = report._replace(sequence=0)
            if home.take_report(sender, message, report, now_ms):
                self._divide(home, pushes, now_ms)
                answered.append(home)
        homes = pushes.setdefault(sender, [])
        homes.extend(home for home in answered if home not in homes)
        actions = self._push(pushes, view, now_ms)
        if self._book.vetoers and not actions:
            actions += self._answer_veto(sender, message, view)
        return actions

    def _set_own(self, home: ShareHome, now_ms: int) -> None:
        meter = self._book.meters[home.organisation]
        wants_spare = self._book.is_recent(meter, now_ms)
        home.set_own(meter.in_use, meter.wanted(now_ms), wants_spare=wants_spare)

    def _divide(
        self, home: ShareHome, pushes: dict[str, list[ShareHome]], now_ms: int
    ) -> None:
        self._set_own(home, now_ms)
        self._book.meters[home.organisation].was_refused = False
        if home.divide_if_due(now_ms):
            for instance in home.list_pushes(now_ms):
                pushes.setdefault(instance, []).append(home)

    def _push(
        self, pushes: dict[str, list[ShareHome]], view: MemberView, now_ms: int
    ) -> list[Action]:
        """Send grants, one message for all organisations that answer one report."""
        settings = self._book.settings
        actions: list[Action] = []
        for instance, homes in pushes.items():
            by_report: dict[tuple[int, int], list[ShareGrant]] = {}
            for home in homes:
                epoch, number, grant = home.make_grant(instance, now_ms)
                by_report.setdefault((epoch, number), []).append(grant)
            for (epoch, number), grants in by_report.items():
                message = LimitGrant(
                    self._book.epoch,
                    epoch,
                    number,
                    settings.grant_ms,
                    settings.floor_ms,
                    tuple(grants),
                    self._book.vetoers,
                )
                actions += send_to(instance, message, view)
        return actions

    def _answer_veto(
        self, sender: str, message: LimitReport, view: MemberView
    ) -> list[Action]:
        """Tell a member that there is no majority, as a home reports to nobody."""
        answer = LimitGrant(
            self._book.epoch,
            message.epoch,
            message.number,
            0,
            0,
            (),
            self._book.vetoers,
        )
        return send_to(sender, answer, view)

    def _ask_silent(self, view: MemberView, now_ms: int) -> list[Action]:
        """Ask members for the reports that this instance's homes wait for."""
        if now_ms - self._asked_ms < self._book.settings.report_interval_ms:
            return []
        self._asked_ms = now_ms
        silent: dict[str, list[str]] = {}
        for organisation, home in self._homes.items():
            for instance in home.list_silent(now_ms):
                silent.setdefault(instance, []).append(organisation)
        actions: list[Action] = []
        for instance, organisations in silent.items():
            actions += send_to(instance, LimitAsk(tuple(organisations)), view)
        return actions
