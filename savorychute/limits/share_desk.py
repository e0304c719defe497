"""The exchange of shares between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.limits.home_desk import HomeDesk
from savorychute.limits.limit_ask import LimitAsk
from savorychute.limits.limit_grant import LimitGrant
from savorychute.limits.limit_report import LimitReport
from savorychute.limits.report_desk import ReportDesk
from savorychute.limits.share_book import ShareBook
from savorychute.membership import HomeTable, MemberView

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.limits.organisation_meter import OrganisationMeter
    from savorychute.limits.settings import LimitSettings

#: Organisations share homes by slot, because choosing a home costs a hash for each
#: member.
SLOTS = 128


class ShareDesk:
    """Reports to organisations' homes, and is the home of some.

    Until the first view it grants nothing and has no share.

    :param settings: durations and shares.
    :param instance: this instance's name.
    :param epoch: of this instance's run.
    """

    def __init__(self, settings: LimitSettings, instance: str, epoch: int) -> None:
        self._book = ShareBook(settings, instance, epoch)
        self._homes = HomeDesk(self._book)
        self._reports = ReportDesk(self._book)
        self._table = HomeTable()
        self._view: MemberView | None = None
        self._could_grant = True

    def set_meters(self, meters: dict[str, OrganisationMeter], now_ms: int) -> None:
        """Replace the organisations.

        :param meters: by organisation.
        :param now_ms: the time.
        """
        self._book.set_meters(meters)
        self._homes.follow_meters()
        self._table.set_keys({find_slot(organisation): '' for organisation in meters})
        self._follow_homes(now_ms)

    def units(self, organisation: str, now_ms: int) -> int:
        """Return how many units of an organisation this instance may use.

        :param organisation: one of the meters'.
        :param now_ms: the time.
        """
        self._book.awake.add(organisation)
        home = self._homes.find(organisation)
        if home is not None:
            return self._homes.own_units(home, now_ms)
        return self._book.holdings[organisation].units(now_ms)

    def set_view(self, view: MemberView, now_ms: int) -> None:
        """Follow the members.

        :param view: who is alive.
        :param now_ms: the time.
        """
        electorate = self._book.electorate
        electorate.forget_old(now_ms)
        known = self._view
        self._view = view
        fresh = electorate.set_view(view, now_ms)
        is_same = known is not None and view.alive is known.alive
        if not is_same:
            self._table.set_view(_without_regions(view))
        self._book.follow_vetoes()
        may_grant = electorate.may_grant()
        if is_same and may_grant == self._could_grant:
            return
        self._could_grant = may_grant
        self._follow_homes(now_ms)
        self._homes.follow_members(fresh, now_ms)

    def follow_list(self, listed: frozenset[str], now_ms: int) -> None:
        """Follow the platform's list of instances.

        :param listed: the names on it.
        :param now_ms: the time.
        """
        electorate = self._book.electorate
        self._homes.forget_gone(electorate.follow_list(listed))
        if electorate.may_grant() != self._could_grant:
            self._could_grant = not self._could_grant
            self._follow_homes(now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], view: MemberView, now_ms: int
    ) -> list[Action]:
        """Take in a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: who is alive.
        :param now_ms: the time.
        """
        if isinstance(message, LimitReport):
            self._take_vetoes(sender, message.vetoers, now_ms)
            losses = self._book.electorate.take_losses(
                message.lost, message.loss_age_ms, now_ms
            )
            self._homes.note_losses(losses, now_ms)
            return self._homes.receive_report(sender, message, view, now_ms)
        if isinstance(message, LimitGrant):
            self._take_vetoes(sender, message.vetoers, now_ms)
            return self._reports.receive_grant(sender, message, view, now_ms)
        if isinstance(message, LimitAsk):
            return self._reports.receive_ask(sender, message, view, now_ms)
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide, grant and report what is due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        actions = self._homes.tick(view, now_ms)
        actions += self._reports.send_reports(view, now_ms)
        return actions

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return what is not in use.

        :param view: who is alive, without this instance.
        :param now_ms: the time.
        """
        self._book.is_leaving = True
        self.set_view(view, now_ms)
        for organisation, holding in self._book.holdings.items():
            holding.give_up(self._book.meters[organisation].in_use)
        self._book.report_all()
        return self._reports.send_reports(view, now_ms)

    def _take_vetoes(self, sender: str, vetoers: tuple[str, ...], now_ms: int) -> None:
        self._book.electorate.take_vetoes(sender, vetoers, now_ms)
        if self._book.electorate.may_grant() != self._could_grant:
            self._could_grant = not self._could_grant
            self._follow_homes(now_ms)

    def _follow_homes(self, now_ms: int) -> None:
        """Open and close this instance's side as a home of organisations."""
        can_grant = self._view is not None and self._book.electorate.may_grant()
        own = self._book.instance
        for organisation, holding in self._book.holdings.items():
            home = self._table.home_of(find_slot(organisation))
            name = own if home is None else home.instance
            if name != own or not can_grant:
                self._homes.close(organisation, now_ms)
            holding.set_home(name)
            if holding.must_report:
                self._book.awake.add(organisation)
            if name == own and can_grant:
                self._homes.open(organisation, now_ms)


def find_slot(organisation: str) -> str:
    """Return the key by which an organisation's home is chosen.

    :param organisation: its name.
    """
    return f'limits:{xxhash.xxh32_intdigest(organisation.encode()) % SLOTS}'


def _without_regions(view: MemberView) -> MemberView:
    """Return the view as if all were in one region.

    An organisation's callers may use instances of any region, so its home is
    chosen among all members.
    """
    alive = tuple(member._replace(region='') for member in view.alive)
    return MemberView(view.own, alive, view.suspects, view.leaving)
