"""The credits of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.credit_ask import CreditAsk
from savorychute.credits.credit_grant import CreditGrant
from savorychute.credits.credit_report import CreditReport
from savorychute.credits.endpoint_group import hash_name
from savorychute.credits.group_book import GroupBook, make_use
from savorychute.credits.home_desk import HomeDesk
from savorychute.credits.load_relay import LoadRelay
from savorychute.credits.region_members import RegionMembers
from savorychute.credits.report_desk import ReportDesk
from savorychute.membership import HomeTable

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.endpoint_group import EndpointGroup
    from savorychute.credits.settings import CreditSettings
    from savorychute.inputs import LoadReported
    from savorychute.membership import MemberView

EPOCH_BITS = 31


class CreditLedger:
    """What this instance may use of each endpoint, and what it uses.

    Until the first :meth:`tick` it takes itself to be the only instance.

    :param settings: durations and sizes.
    :param instance: this instance's name.
    :param rng: the source of this run's epoch.
    """

    def __init__(
        self, settings: CreditSettings, instance: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.instance = instance
        epoch = rng.getrandbits(EPOCH_BITS) | 1
        self._book = GroupBook(settings, instance)
        self._table = HomeTable()
        self._members = RegionMembers(settings.remember_ms)
        self._relay = LoadRelay()
        self._homes = HomeDesk(self._book, self._members, self._relay, epoch)
        self._reports = ReportDesk(self._book, self._relay, epoch)
        self._view: MemberView | None = None
        self._now_ms = 0

    def set_endpoints(self, endpoints: dict[str, EndpointDocument]) -> None:
        """Replace the endpoints; what runs at those that are gone is kept.

        :param endpoints: by name.
        """
        for key in self._book.set_endpoints(endpoints):
            self._homes.close(key)
        holdings = self._book.holdings
        self._table.set_keys({key: h.group.region for key, h in holdings.items()})
        self._follow_homes(self._now_ms)

    def candidates(self, pool: str) -> tuple[str, ...]:
        """Return the endpoints of a pool that this instance uses.

        :param pool: a model or ``service:`` and a service.
        """
        return tuple(candidate.endpoint for candidate in self._book.choose(pool))

    def available(self, endpoint: str, tier: int) -> int:  # noqa: ARG002
        """Return how many requests may start at an endpoint now.

        The queue already puts higher tiers first, so a credit in hand serves
        any tier.

        :param endpoint: its name.
        :param tier: of the requests.
        """
        group = self._book.group_of(endpoint)
        if group is None:
            return 0
        number = hash_name(endpoint)
        in_use = self._book.holdings[group.key].in_use.get(number, 0)
        return max(0, self._level(group, number) - in_use)

    def take(
        self,
        endpoint: str,
        attempt_id: str,
        tier: int,
        expected_tokens: int,
        now_ms: int,
    ) -> bool:
        """Use a credit for an attempt; return whether there was one.

        :param endpoint: its name.
        :param attempt_id: what uses it.
        :param tier: of the request.
        :param expected_tokens: how much it may generate.
        :param now_ms: the time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        group = self._book.group_of(endpoint)
        if group is None or self.available(endpoint, tier) < 1:
            return False
        if not self._has_tokens(group, endpoint, expected_tokens):
            return False
        use = make_use(group, endpoint, tier, expected_tokens)
        self._book.start(endpoint, attempt_id, use, now_ms)
        return True

    def give_back(self, attempt_id: str, now_ms: int) -> None:
        """Return the credit of an attempt that has ended.

        :param attempt_id: what used it; an unknown one is ignored.
        :param now_ms: the time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._book.end(attempt_id)

    def set_demand(self, pool: str, by_tier: dict[int, int], now_ms: int) -> None:
        """Note how many requests of a pool want to run.

        :param pool: where they run or wait.
        :param by_tier: those that run and those that wait, by tier.
        :param now_ms: the time.
        """
        self._book.demand.set(pool, by_tier, now_ms)

    def receive(
        self,
        sender: str,
        message: tuple[object, ...],
        view: MemberView,
        now_ms: int,
    ) -> list[Action]:
        """Take in a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: who is alive.
        :param now_ms: the time.
        """
        self._set_view(view, now_ms)
        if isinstance(message, CreditReport):
            return self._homes.receive_report(sender, message, view, now_ms)
        if isinstance(message, CreditGrant):
            return self._reports.receive_grant(sender, message, view, now_ms)
        if isinstance(message, CreditAsk):
            return self._reports.receive_ask(sender, message, view, now_ms)
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Do what is due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        self._set_view(view, now_ms)
        self._book.demand.forget_old(now_ms)
        actions = self._homes.tick(view, now_ms)
        actions += self._reports.send_reports(view, now_ms)
        return actions

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return what is unused, before this instance goes.

        It goes on reporting what runs until that has ended.

        :param view: who is alive, without this instance.
        :param now_ms: the time.
        """
        self._book.is_leaving = True
        self._set_view(view, now_ms)
        for holding in self._book.holdings.values():
            holding.give_up_unused()
            holding.must_report = True
        return self._reports.send_reports(view, now_ms)

    def observe(self, report: LoadReported) -> None:
        """Note a load report, to pass it on with grants.

        :param report: fetched by this instance.
        """
        self._relay.observe(report, self._now_ms)

    def take_reports(self) -> list[LoadReported]:
        """Return load reports that came with grants since the last call."""
        return self._relay.take_reports()

    def reclaimed(self, pool: str) -> int:
        """Return how many running requests of a pool exceed what is granted.

        Their places are wanted at another instance.

        :param pool: a model or ``service:`` and a service.
        """
        excess = 0
        for candidate in self._book.choose(pool):
            holding = self._book.holdings[candidate.group]
            if holding.pressing_tier >= 0:
                number = hash_name(candidate.endpoint)
                in_use = holding.in_use.get(number, 0)
                excess += max(0, in_use - self._level(holding.group, number))
        return excess

    def pressing_tier(self, pool: str) -> int:
        """Return the highest tier that lacks credit anywhere, or -1.

        :param pool: a model or ``service:`` and a service.
        """
        keys = {candidate.group for candidate in self._book.choose(pool)}
        tiers = [self._book.holdings[key].pressing_tier for key in keys]
        return min((tier for tier in tiers if tier >= 0), default=-1)

    def _level(self, group: EndpointGroup, endpoint: int) -> int:
        home = self._homes.find(group.key)
        if home is not None:
            return home.own_level(endpoint, self._now_ms)
        level = self._book.holdings[group.key].level(endpoint, self._now_ms)
        return self._survival_level(group, endpoint) if level is None else level

    def _survival_level(self, group: EndpointGroup, endpoint: int) -> int:
        """Return what may be used although the home has not answered.

        A home that is alive by the view but cannot be reached would stop all
        work here.  Each member then takes an equal part of a share of the
        capacity, so all together over-commit it by that share at most.
        """
        if not self._book.holdings[group.key].has_ended(self._now_ms):
            return 0
        names = sorted(self._members.list_alive(group.region))
        if self.instance not in names:
            return 0
        total = int(group.capacities[endpoint] * self.settings.survival_share)
        position = (names.index(self.instance) + endpoint) % len(names)
        each, extra = divmod(total, len(names))
        return each + (position < extra)

    def _has_tokens(
        self, group: EndpointGroup, endpoint: str, expected_tokens: int
    ) -> bool:
        """Return whether the tokens that may be outstanding suffice.

        They are divided like the requests.  A request larger than the whole
        part runs alone, or it would never run.
        """
        limit = self._book.endpoints[endpoint].get('outstanding_tokens', 0)
        number = hash_name(endpoint)
        holding = self._book.holdings[group.key]
        if not limit or not holding.in_use.get(number, 0):
            return True
        share = self._level(group, number) / group.capacities[number]
        return holding.tokens.get(number, 0) + expected_tokens <= limit * share

    def _set_view(self, view: MemberView, now_ms: int) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        self._book.set_region(view.own.region)
        known = self._view
        self._view = view
        if known is not None and view.alive is known.alive:
            return
        self._members.set_view(view, now_ms)
        self._table.set_view(view)
        if known is None:
            # What this instance took itself for when it knew nobody is no
            # ground to think that nobody holds anything.
            for key in self._book.holdings:
                self._homes.close(key)
        self._follow_homes(now_ms)

    def _follow_homes(self, now_ms: int) -> None:
        """Open and close this instance's side as a home of groups."""
        for key, holding in self._book.holdings.items():
            home = self._table.home_of(key)
            if home is not None:
                name = home.instance
            else:
                name = '' if self._book.is_leaving else self.instance
            holding.set_home(name)
            if name == self.instance:
                self._homes.open(holding, now_ms)
            else:
                self._homes.close(key)
