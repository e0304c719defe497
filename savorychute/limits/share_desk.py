"""The exchange of shares between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.credits.send_peer import send_to
from savorychute.limits.electorate import Electorate
from savorychute.limits.limit_ask import LimitAsk
from savorychute.limits.limit_grant import LimitGrant
from savorychute.limits.limit_report import LimitReport
from savorychute.limits.share_holding import ShareHolding
from savorychute.limits.share_home import ShareHome
from savorychute.membership import HomeTable, MemberView

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.limits.customer_meter import CustomerMeter
    from savorychute.limits.settings import LimitSettings
    from savorychute.limits.share_grant import ShareGrant
    from savorychute.limits.share_report import ShareReport

SLOTS = 128


class ShareDesk:
    """Reports to customers' homes, and is the home of some.

    Until the first view it grants nothing and has no share.

    :param settings: durations and shares.
    :param instance: this instance's name.
    :param epoch: of this instance's run.
    """

    def __init__(self, settings: LimitSettings, instance: str, epoch: int) -> None:
        self.settings = settings
        self.instance = instance
        self._epoch = epoch
        self._electorate = Electorate(instance, settings)
        self._table = HomeTable()
        self._meters: dict[str, CustomerMeter] = {}
        self._holdings: dict[str, ShareHolding] = {}
        self._homes: dict[str, ShareHome] = {}
        self._awake: set[str] = set()
        self._view: MemberView | None = None
        self._could_grant = True
        self._vetoers: tuple[str, ...] = ()
        self._asked_ms = 0
        self._is_leaving = False
        self._number = 0
        self._sent_ms: dict[int, int] = {}

    def set_meters(self, meters: dict[str, CustomerMeter], now_ms: int) -> None:
        """Replace the customers.

        :param meters: by customer.
        :param now_ms: the time.
        """
        self._meters = meters
        self._holdings = {
            customer: self._holdings.get(customer) or ShareHolding(customer)
            for customer in meters
        }
        for customer, home in list(self._homes.items()):
            if customer not in meters:
                del self._homes[customer]
            else:
                home.total = meters[customer].total
        self._table.set_keys({find_slot(customer): '' for customer in meters})
        self._awake.update(meters)
        self._follow_homes(now_ms)

    def units(self, customer: str, now_ms: int) -> int:
        """Return how many units of a customer this instance may use.

        :param customer: one of the meters'.
        :param now_ms: the time.
        """
        self._awake.add(customer)
        home = self._homes.get(customer)
        if home is None:
            return self._holdings[customer].units(now_ms)
        meter = self._meters[customer]
        self._set_own(home, meter, now_ms)
        return home.own_units(now_ms)

    def set_view(self, view: MemberView, now_ms: int) -> None:
        """Follow the members.

        :param view: who is alive.
        :param now_ms: the time.
        """
        self._electorate.forget_old(now_ms)
        known = self._view
        self._view = view
        fresh = self._electorate.set_view(view, now_ms)
        is_same = known is not None and view.alive is known.alive
        if not is_same:
            self._table.set_view(_without_regions(view))
        self._follow_vetoes()
        may_grant = self._electorate.may_grant()
        if is_same and may_grant == self._could_grant:
            return
        self._could_grant = may_grant
        self._follow_homes(now_ms)
        for home in self._homes.values():
            home.follow_members(self._electorate.alive, now_ms)
            if fresh:
                home.expect(fresh, now_ms)

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
            return self._receive_report(sender, message, view, now_ms)
        if isinstance(message, LimitGrant):
            return self._receive_grant(sender, message, view, now_ms)
        if isinstance(message, LimitAsk):
            return self._receive_ask(sender, message, view, now_ms)
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Divide, grant and report what is due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        pushes: dict[str, list[ShareHome]] = {}
        for customer, home in self._homes.items():
            if home.is_used or customer in self._awake:
                home.drop_lost(now_ms)
                self._divide(customer, home, pushes, now_ms)
        actions = self._push(pushes, view, now_ms)
        actions += self._send_reports(view, now_ms)
        actions += self._ask_silent(view, now_ms)
        return actions

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return what is not in use.

        :param view: who is alive, without this instance.
        :param now_ms: the time.
        """
        self._is_leaving = True
        self.set_view(view, now_ms)
        for customer, holding in self._holdings.items():
            holding.give_up(self._meters[customer].in_use)
            holding.must_report = True
        self._awake.update(self._holdings)
        return self._send_reports(view, now_ms)

    def _follow_vetoes(self) -> None:
        """Report to all homes when this instance's vetoes change."""
        vetoers = self._electorate.list_vetoers()
        if vetoers != self._vetoers:
            self._vetoers = vetoers
            for holding in self._holdings.values():
                holding.must_report = True
            self._awake.update(self._holdings)

    def _follow_homes(self, now_ms: int) -> None:
        can_grant = self._view is not None and self._electorate.may_grant()
        for customer, holding in self._holdings.items():
            home = self._table.home_of(find_slot(customer))
            name = self.instance if home is None else home.instance
            if name != self.instance or not can_grant:
                self._close(customer, now_ms)
            holding.set_home(name)
            if holding.must_report:
                self._awake.add(customer)
            if name == self.instance and can_grant:
                self._open(customer, now_ms)

    def _open(self, customer: str, now_ms: int) -> None:
        if customer in self._homes:
            return
        meter = self._meters[customer]
        self._homes[customer] = ShareHome(
            self.settings,
            customer,
            self.instance,
            meter.total,
            max(self._holdings[customer].units(now_ms), meter.in_use),
            [
                *self._electorate.alive,
                *self._electorate.list_left(now_ms - self.settings.unknown_ms),
                *self._electorate.list_lost(),
            ],
            self._electorate.last_loss_ms,
            now_ms,
        )

    def _set_own(self, home: ShareHome, meter: CustomerMeter, now_ms: int) -> None:
        wants_spare = self._is_recent(meter, now_ms)
        home.set_own(meter.in_use, meter.wanted(now_ms), wants_spare=wants_spare)

    def _close(self, customer: str, now_ms: int) -> None:
        """Be the home no longer, and keep only a floor of the own share.

        Another home may divide the rest from now on.
        """
        home = self._homes.pop(customer, None)
        if home is not None:
            floor = home.own_floor(now_ms)
            self._holdings[customer].keep_floor(floor, now_ms + self.settings.floor_ms)

    def _divide(
        self,
        customer: str,
        home: ShareHome,
        pushes: dict[str, list[ShareHome]],
        now_ms: int,
    ) -> None:
        meter = self._meters[customer]
        self._set_own(home, meter, now_ms)
        meter.was_refused = False
        if home.divide_if_due(now_ms):
            for instance in home.list_pushes(now_ms):
                pushes.setdefault(instance, []).append(home)

    def _receive_report(
        self, sender: str, message: LimitReport, view: MemberView, now_ms: int
    ) -> list[Action]:
        self._take_vetoes(sender, message.vetoers, now_ms)
        losses = self._electorate.take_losses(message.lost, message.loss_age_ms, now_ms)
        for own_home in self._homes.values():
            own_home.note_loss(self._electorate.told_loss_ms)
            unknown = [i for i in losses if not own_home.knows(i)]
            if unknown:
                own_home.expect(unknown, now_ms)
                own_home.note_loss(now_ms)
        pushes: dict[str, list[ShareHome]] = {}
        answered: list[ShareHome] = []
        for report in message.shares:
            home = self._homes.get(report.customer)
            if home is None:
                continue
            if report.home_epoch != self._epoch:
                report = report._replace(sequence=0)
            if home.take_report(sender, message, report, now_ms):
                self._divide(report.customer, home, pushes, now_ms)
                answered.append(home)
        homes = pushes.setdefault(sender, [])
        homes.extend(home for home in answered if home not in homes)
        actions = self._push(pushes, view, now_ms)
        if self._vetoers and not actions:
            actions += self._answer_veto(sender, message, view)
        return actions

    def _take_vetoes(self, sender: str, vetoers: tuple[str, ...], now_ms: int) -> None:
        self._electorate.take_vetoes(sender, vetoers, now_ms)
        if self._electorate.may_grant() != self._could_grant:
            self._could_grant = not self._could_grant
            self._follow_homes(now_ms)

    def _answer_veto(
        self, sender: str, message: LimitReport, view: MemberView
    ) -> list[Action]:
        """Tell a member that there is no majority, as a home reports to nobody."""
        answer = LimitGrant(
            self._epoch, message.epoch, message.number, 0, 0, (), self._vetoers
        )
        return send_to(sender, answer, view)

    def _push(
        self, pushes: dict[str, list[ShareHome]], view: MemberView, now_ms: int
    ) -> list[Action]:
        actions: list[Action] = []
        for instance, homes in pushes.items():
            by_report: dict[tuple[int, int], list[ShareGrant]] = {}
            for home in homes:
                epoch, number, grant = home.make_grant(instance, now_ms)
                by_report.setdefault((epoch, number), []).append(grant)
            for (epoch, number), grants in by_report.items():
                message = LimitGrant(
                    self._epoch,
                    epoch,
                    number,
                    self.settings.grant_ms,
                    self.settings.floor_ms,
                    tuple(grants),
                    self._vetoers,
                )
                actions += send_to(instance, message, view)
        return actions

    def _receive_grant(
        self, sender: str, message: LimitGrant, view: MemberView, now_ms: int
    ) -> list[Action]:
        self._take_vetoes(sender, message.vetoers, now_ms)
        sent_ms = self._sent_ms.get(message.report_number)
        if message.epoch != self._epoch or sent_ms is None:
            return []
        for grant in message.shares:
            holding = self._holdings.get(grant.customer)
            if holding is None or holding.home != sender:
                continue
            holding.apply(
                message.home_epoch,
                grant,
                sent_ms + message.duration_ms,
                sent_ms + message.floor_ms,
            )
            self._awake.add(grant.customer)
            if self._is_leaving:
                holding.give_up(self._meters[grant.customer].in_use)
        return self._send_reports(view, now_ms)

    def _ask_silent(self, view: MemberView, now_ms: int) -> list[Action]:
        """Ask members for the reports that this instance's homes wait for."""
        if now_ms - self._asked_ms < self.settings.report_interval_ms:
            return []
        self._asked_ms = now_ms
        silent: dict[str, list[str]] = {}
        for customer, home in self._homes.items():
            for instance in home.list_silent(now_ms):
                silent.setdefault(instance, []).append(customer)
        actions: list[Action] = []
        for instance, customers in silent.items():
            actions += send_to(instance, LimitAsk(tuple(customers)), view)
        return actions

    def _receive_ask(
        self, sender: str, message: LimitAsk, view: MemberView, now_ms: int
    ) -> list[Action]:
        for customer in message.customers:
            holding = self._holdings.get(customer)
            if holding is not None and holding.home == sender:
                holding.must_report = True
                self._awake.add(customer)
        return self._send_reports(view, now_ms)

    def _send_reports(self, view: MemberView, now_ms: int) -> list[Action]:
        due: dict[str, list[ShareReport]] = {}
        for customer in list(self._awake):
            holding = self._holdings.get(customer)
            if holding is None:
                self._awake.discard(customer)
                continue
            meter = self._meters[customer]
            wants_spare = self._is_recent(meter, now_ms)
            is_at_home = holding.home in ('', self.instance)
            if is_at_home or not self._is_due(
                holding, meter, now_ms, wants_spare=wants_spare
            ):
                if not wants_spare and meter.in_use == 0:
                    self._awake.discard(customer)
                continue
            wanted = meter.wanted(now_ms)
            report = holding.build_report(
                meter.in_use, wanted, now_ms, wants_spare=wants_spare
            )
            meter.was_refused = False
            due.setdefault(holding.home, []).append(report)
        actions: list[Action] = []
        for home, reports in due.items():
            self._number += 1
            self._sent_ms[self._number] = now_ms
            message = LimitReport(
                self._epoch,
                self._number,
                tuple(reports),
                self._vetoers,
                self._electorate.list_lost_since(now_ms - self.settings.unknown_ms),
                self._loss_age_ms(now_ms),
            )
            actions += send_to(home, message, view)
        self._forget_reports(now_ms)
        return actions

    def _loss_age_ms(self, now_ms: int) -> int:
        last_ms = self._electorate.last_loss_ms
        return -1 if last_ms < 0 else now_ms - last_ms

    def _is_recent(self, meter: CustomerMeter, now_ms: int) -> bool:
        is_recent = 0 <= meter.used_ms > now_ms - self.settings.spare_memory_ms
        return (is_recent or meter.was_refused) and not self._is_leaving

    def _is_due(
        self,
        holding: ShareHolding,
        meter: CustomerMeter,
        now_ms: int,
        *,
        wants_spare: bool,
    ) -> bool:
        if holding.must_report or holding.reported_ms is None:
            return True
        if self._is_leaving and meter.in_use != holding.reported_in_use:
            return True
        age_ms = now_ms - holding.reported_ms
        if age_ms >= self.settings.pressure_interval_ms:
            if holding.owes(meter.in_use, now_ms):
                return True
            if meter.was_refused and meter.wanted(now_ms) > holding.reported_wanted:
                return True
        has_sunk = 2 * meter.wanted(now_ms) < holding.reported_wanted
        if has_sunk and age_ms >= self.settings.sunk_interval_ms:
            return True
        is_used = wants_spare or meter.in_use > 0 or meter.was_refused
        return is_used and age_ms >= self.settings.report_interval_ms

    def _forget_reports(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.settings.grant_ms
        while self._sent_ms:
            number, sent_ms = next(iter(self._sent_ms.items()))
            if sent_ms > oldest_ms:
                break
            del self._sent_ms[number]


def find_slot(customer: str) -> str:
    """Return the key by which a customer's home is chosen.

    Customers share a fixed number of slots, because choosing a home costs a
    hash for each member.

    :param customer: its name.
    """
    return f'limits:{xxhash.xxh32_intdigest(customer.encode()) % SLOTS}'


def _without_regions(view: MemberView) -> MemberView:
    """Return the view as if all were in one region.

    A customer's callers may use instances of any region, so its home is
    chosen among all members.
    """
    alive = tuple(member._replace(region='') for member in view.alive)
    return MemberView(view.own, alive, view.suspects, view.leaving)
