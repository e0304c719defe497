"""Exchange of shares between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.limits.home_handler import HomeHandler
from savorychute.limits.limit_ask import LimitAsk
from savorychute.limits.limit_grant import LimitGrant
from savorychute.limits.limit_report import LimitReport
from savorychute.limits.report_handler import ReportHandler
from savorychute.limits.share_table import ShareTable
from savorychute.membership import HomeTable, MemberView

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.limits.organisation_meter import OrganisationMeter
    from savorychute.limits.settings import LimitSettings

#: Organisations are hashed to this many slots that share a home, because choosing a
#: home costs one hash per member.
HOME_SLOTS = 128


class ShareHandler:
    """Reports to the homes of organisations, and acts as the home of some.

    Before the first view it grants nothing and has no share.

    :param settings: durations and shares.
    :param instance: this instance's name.
    :param epoch: epoch of this process run.
    """

    def __init__(self, settings: LimitSettings, instance: str, epoch: int) -> None:
        self._shares = ShareTable(settings, instance, epoch)
        self._home_handler = HomeHandler(self._shares)
        self._report_handler = ReportHandler(self._shares)
        self._home_table = HomeTable()
        self._view: MemberView | None = None
        self._could_grant = True

    def set_meters(self, meters: dict[str, OrganisationMeter], now_ms: int) -> None:
        """Replace the organisations.

        :param meters: meters by organisation.
        :param now_ms: the current time.
        """
        self._shares.set_meters(meters)
        self._home_handler.update_meters()
        self._home_table.set_keys(
            {make_home_key(organisation): '' for organisation in meters}
        )
        self._update_homes(now_ms)

    def units(self, organisation: str, now_ms: int) -> int:
        """Return how many units of an organisation this instance may use.

        :param organisation: an organisation that has a meter.
        :param now_ms: the current time.
        """
        self._shares.active.add(organisation)
        allocator = self._home_handler.find(organisation)
        if allocator is not None:
            return self._home_handler.own_units(allocator, now_ms)
        return self._shares.holdings[organisation].units(now_ms)

    def set_view(self, view: MemberView, now_ms: int) -> None:
        """Set the current members.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        quorum = self._shares.quorum
        quorum.remove_expired(now_ms)
        previous = self._view
        self._view = view
        joined = quorum.set_view(view, now_ms)
        is_same = previous is not None and view.alive is previous.alive
        if not is_same:
            self._home_table.set_view(_without_regions(view))
        self._shares.update_vetoes()
        can_grant = quorum.can_grant()
        if is_same and can_grant == self._could_grant:
            return
        self._could_grant = can_grant
        self._update_homes(now_ms)
        self._home_handler.update_members(joined, now_ms)

    def apply_listed(self, listed: frozenset[str], now_ms: int) -> None:
        """Apply the platform's list of instances.

        :param listed: names on the list.
        :param now_ms: the current time.
        """
        quorum = self._shares.quorum
        self._home_handler.remove_terminated(quorum.apply_listed(listed))
        if quorum.can_grant() != self._could_grant:
            self._could_grant = not self._could_grant
            self._update_homes(now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], view: MemberView, now_ms: int
    ) -> list[Action]:
        """Handle a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        if isinstance(message, LimitReport):
            self._apply_vetoes(sender, message.vetoers, now_ms)
            losses = self._shares.quorum.apply_losses(
                message.lost, message.loss_age_ms, now_ms
            )
            self._home_handler.record_losses(losses, now_ms)
            return self._home_handler.receive_report(sender, message, view, now_ms)
        if isinstance(message, LimitGrant):
            self._apply_vetoes(sender, message.vetoers, now_ms)
            return self._report_handler.receive_grant(sender, message, view, now_ms)
        if isinstance(message, LimitAsk):
            return self._report_handler.receive_report_request(
                sender, message, view, now_ms
            )
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide, grant and report what is due.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        actions = self._home_handler.tick(view, now_ms)
        actions += self._report_handler.send_reports(view, now_ms)
        return actions

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return the units that are not in use.

        :param view: the current membership view, without this instance.
        :param now_ms: the current time.
        """
        self._shares.is_leaving = True
        self.set_view(view, now_ms)
        for organisation, holding in self._shares.holdings.items():
            holding.shrink_to(self._shares.meters[organisation].in_use)
        self._shares.schedule_all_reports()
        return self._report_handler.send_reports(view, now_ms)

    def _apply_vetoes(self, sender: str, vetoers: tuple[str, ...], now_ms: int) -> None:
        self._shares.quorum.apply_vetoes(sender, vetoers, now_ms)
        if self._shares.quorum.can_grant() != self._could_grant:
            self._could_grant = not self._could_grant
            self._update_homes(now_ms)

    def _update_homes(self, now_ms: int) -> None:
        """Become or resign the home of each organisation, by the current members."""
        is_eligible = self._view is not None and self._shares.quorum.can_grant()
        own = self._shares.instance
        for organisation, holding in self._shares.holdings.items():
            home = self._home_table.home_of(make_home_key(organisation))
            name = own if home is None else home.instance
            if name != own or not is_eligible:
                self._home_handler.resign_home(organisation, now_ms)
            holding.set_home(name)
            if holding.must_report:
                self._shares.active.add(organisation)
            if name == own and is_eligible:
                self._home_handler.become_home(organisation, now_ms)


def make_home_key(organisation: str) -> str:
    """Return the key that determines an organisation's home.

    :param organisation: name of the organisation.
    """
    return f'limits:{xxhash.xxh32_intdigest(organisation.encode()) % HOME_SLOTS}'


def _without_regions(view: MemberView) -> MemberView:
    """Return the view as if all members were in one region.

    An organisation's callers may use instances of any region, so its home is chosen
    among all members.
    """
    alive = tuple(member._replace(region='') for member in view.alive)
    return MemberView(view.own, alive, view.suspects, view.leaving)
