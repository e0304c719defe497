"""Division of limits and grants by a home instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.send_peer import send_to
from savorychute.limits.limit_ask import LimitAsk
from savorychute.limits.limit_grant import LimitGrant
from savorychute.limits.share_allocator import ShareAllocator

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.actions import Action
    from savorychute.limits.limit_report import LimitReport
    from savorychute.limits.share_grant import ShareGrant
    from savorychute.limits.share_table import ShareTable
    from savorychute.membership import MemberView


class HomeHandler:
    """Handles the organisations whose home is this instance.

    :param shares: meters and holdings.
    """

    def __init__(self, shares: ShareTable) -> None:
        self._shares = shares
        self._allocators: dict[str, ShareAllocator] = {}
        self._requested_ms = 0

    def find(self, organisation: str) -> ShareAllocator | None:
        """Return the allocator of an organisation, if this instance is its home.

        :param organisation: name of the organisation.
        """
        return self._allocators.get(organisation)

    def update_meters(self) -> None:
        """Apply amended contracts, and discard removed organisations."""
        meters = self._shares.meters
        self._allocators = {
            name: allocator
            for name, allocator in self._allocators.items()
            if name in meters
        }
        for organisation, allocator in self._allocators.items():
            allocator.total = meters[organisation].total

    def become_home(self, organisation: str, now_ms: int) -> None:
        """Become the home of an organisation, unless it is already.

        :param organisation: name of the organisation.
        :param now_ms: the current time.
        """
        if organisation in self._allocators:
            return
        shares = self._shares
        meter = shares.meters[organisation]
        allocator = ShareAllocator(
            shares.settings,
            organisation,
            shares.instance,
            meter.total,
            max(shares.holdings[organisation].units(now_ms), meter.in_use),
            [
                *sorted(shares.quorum.alive),
                *shares.quorum.list_lost(),
            ],
            shares.quorum.last_loss_ms,
            now_ms,
        )
        allocator.add_left_unreported(
            shares.quorum.list_left(now_ms - shares.settings.left_ms), now_ms
        )
        self._allocators[organisation] = allocator

    def resign_home(self, organisation: str, now_ms: int) -> None:
        """Stop being the home, and retain only a floor of this instance's share.

        Another home may divide the rest from now on.

        :param organisation: name of the organisation.
        :param now_ms: the current time.
        """
        allocator = self._allocators.pop(organisation, None)
        if allocator is not None:
            ends_ms = now_ms + self._shares.settings.floor_ms
            holding = self._shares.holdings[organisation]
            holding.retain_floor(allocator.own_floor(now_ms), ends_ms)

    def update_members(self, joined: frozenset[str], now_ms: int) -> None:
        """Apply a change of the members.

        :param joined: names of the members that joined.
        :param now_ms: the current time.
        """
        for allocator in self._allocators.values():
            allocator.set_members(self._shares.quorum.alive, now_ms)
            if joined:
                allocator.add_unreported(sorted(joined), now_ms)

    def remove_terminated(self, terminated: Iterable[str]) -> None:
        """Discard members that have terminated according to the platform.

        :param terminated: their names.
        """
        for instance in terminated:
            for allocator in self._allocators.values():
                allocator.remove_terminated(instance)

    def record_losses(self, losses: Iterable[str], now_ms: int) -> None:
        """Record members that other instances report as lost.

        :param losses: their names.
        :param now_ms: the current time.
        """
        for allocator in self._allocators.values():
            allocator.record_loss(self._shares.quorum.reported_loss_ms)
            unknown = [name for name in losses if not allocator.is_known(name)]
            if unknown:
                allocator.add_unreported(unknown, now_ms)
                allocator.record_loss(now_ms)

    def own_units(self, allocator: ShareAllocator, now_ms: int) -> int:
        """Return how many units this instance may use itself.

        :param allocator: allocator of the organisation.
        :param now_ms: the current time.
        """
        self._update_own_demand(allocator, now_ms)
        return allocator.own_units(now_ms)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide the units that are due, and send changed grants.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        pushes: dict[str, list[ShareAllocator]] = {}
        for organisation, allocator in self._allocators.items():
            if allocator.is_used or organisation in self._shares.active:
                allocator.drop_expired_holders(now_ms)
                self._divide(allocator, pushes, now_ms)
        return self._send_grants(pushes, view, now_ms) + self._request_reports(
            view, now_ms
        )

    def receive_report(
        self, sender: str, message: LimitReport, view: MemberView, now_ms: int
    ) -> list[Action]:
        """Apply a report and respond with grants.

        :param sender: the reporting instance.
        :param message: the report.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        pushes: dict[str, list[ShareAllocator]] = {}
        responding: list[ShareAllocator] = []
        for report in message.shares:
            allocator = self._allocators.get(report.organisation)
            if allocator is None:
                continue
            if report.home_epoch != self._shares.epoch:
                report = report._replace(sequence=0)
            if allocator.apply_report(sender, message, report, now_ms):
                self._divide(allocator, pushes, now_ms)
                responding.append(allocator)
        allocators = pushes.setdefault(sender, [])
        allocators.extend(
            allocator for allocator in responding if allocator not in allocators
        )
        actions = self._send_grants(pushes, view, now_ms)
        if self._shares.vetoers and not actions:
            actions += self._report_vetoes(sender, message, view)
        return actions

    def _update_own_demand(self, allocator: ShareAllocator, now_ms: int) -> None:
        meter = self._shares.meters[allocator.organisation]
        wants_spare = self._shares.is_recently_used(meter, now_ms)
        allocator.set_own_demand(
            meter.in_use, meter.wanted(now_ms), wants_spare=wants_spare
        )

    def _divide(
        self,
        allocator: ShareAllocator,
        pushes: dict[str, list[ShareAllocator]],
        now_ms: int,
    ) -> None:
        self._update_own_demand(allocator, now_ms)
        self._shares.meters[allocator.organisation].was_refused = False
        if allocator.divide_if_due(now_ms):
            for instance in allocator.list_push_targets(now_ms):
                pushes.setdefault(instance, []).append(allocator)

    def _send_grants(
        self, pushes: dict[str, list[ShareAllocator]], view: MemberView, now_ms: int
    ) -> list[Action]:
        """Send grants, one message for all that respond to the same report."""
        settings = self._shares.settings
        actions: list[Action] = []
        for instance, allocators in pushes.items():
            by_report: dict[tuple[int, int], list[ShareGrant]] = {}
            for allocator in allocators:
                epoch, number, grant = allocator.make_grant(instance, now_ms)
                by_report.setdefault((epoch, number), []).append(grant)
            for (epoch, number), grants in by_report.items():
                message = LimitGrant(
                    self._shares.epoch,
                    epoch,
                    number,
                    settings.grant_ms,
                    settings.floor_ms,
                    tuple(grants),
                    self._shares.vetoers,
                )
                actions += send_to(instance, message, view)
        return actions

    def _report_vetoes(
        self, sender: str, message: LimitReport, view: MemberView
    ) -> list[Action]:
        """Report the vetoers to a member.

        A home sends no reports itself, so its vetoers go out with this response.
        """
        response = LimitGrant(
            self._shares.epoch,
            message.epoch,
            message.number,
            0,
            0,
            (),
            self._shares.vetoers,
        )
        return send_to(sender, response, view)

    def _request_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        """Request the reports that this instance's allocators wait for."""
        if now_ms - self._requested_ms < self._shares.settings.report_interval_ms:
            return []
        self._requested_ms = now_ms
        unreported: dict[str, list[str]] = {}
        for organisation, allocator in self._allocators.items():
            for instance in allocator.list_unreported(now_ms):
                unreported.setdefault(instance, []).append(organisation)
        actions: list[Action] = []
        for instance, organisations in unreported.items():
            actions += send_to(instance, LimitAsk(tuple(organisations)), view)
        return actions
