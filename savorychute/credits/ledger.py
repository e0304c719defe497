"""The credits of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.credits.credit_ask import CreditAsk
from savorychute.credits.credit_grant import CreditGrant
from savorychute.credits.credit_report import CreditReport
from savorychute.credits.endpoint_group import hash_name
from savorychute.credits.group_table import GroupTable, make_attempt_use
from savorychute.credits.home_handler import HomeHandler
from savorychute.credits.load_relay import LoadRelay
from savorychute.credits.region_members import RegionMembers
from savorychute.credits.report_handler import ReportHandler
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
    """Tracks what this instance may use of each endpoint, and what it uses.

    Before the first :meth:`tick` it assumes that it is the only instance.

    :param settings: durations and sizes.
    :param instance: this instance's name.
    :param rng: random source for the epoch of this process run.
    """

    def __init__(
        self, settings: CreditSettings, instance: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.instance = instance
        epoch = rng.getrandbits(EPOCH_BITS) | 1
        self._groups = GroupTable(settings, instance)
        self._home_table = HomeTable()
        self._members = RegionMembers(settings.remember_ms)
        self._relay = LoadRelay()
        self._home_handler = HomeHandler(
            self._groups, self._members, self._relay, epoch
        )
        self._report_handler = ReportHandler(self._groups, self._relay, epoch)
        self._view: MemberView | None = None
        self._now_ms = 0

    def set_endpoints(self, endpoints: dict[str, EndpointDocument]) -> None:
        """Replace the endpoints; requests at removed endpoints stay counted.

        :param endpoints: endpoint documents by name.
        """
        for key in self._groups.set_endpoints(endpoints):
            self._home_handler.resign_home(key)
        holdings = self._groups.holdings
        self._home_table.set_keys(
            {key: holding.group.region for key, holding in holdings.items()}
        )
        self._update_homes(self._now_ms)

    def candidates(self, pool: str) -> tuple[str, ...]:
        """Return the endpoints of a pool that this instance uses.

        :param pool: a model name, or ``service:`` followed by a service name.
        """
        return tuple(
            candidate.endpoint for candidate in self._groups.choose_candidates(pool)
        )

    def available(self, endpoint: str, tier: int) -> int:  # noqa: ARG002
        """Return how many requests can start at an endpoint now.

        The queue already serves higher tiers first, so an available credit can be used
        for any tier.

        :param endpoint: name of the endpoint.
        :param tier: tier of the requests.
        """
        group = self._groups.group_of(endpoint)
        if group is None:
            return 0
        number = hash_name(endpoint)
        used = self._groups.holdings[group.key].used_credits(number)
        return max(0, self._level(group, number) - used)

    def acquire(
        self,
        endpoint: str,
        attempt_id: str,
        tier: int,
        expected_tokens: int,
        now_ms: int,
    ) -> bool:
        """Acquire a credit for an attempt; return whether one was available.

        :param endpoint: name of the endpoint.
        :param attempt_id: identifier of the attempt.
        :param tier: tier of the request.
        :param expected_tokens: number of tokens that the attempt may generate.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        group = self._groups.group_of(endpoint)
        if group is None or self.available(endpoint, tier) < 1:
            return False
        if not self._has_tokens(group, endpoint, expected_tokens):
            return False
        use = make_attempt_use(group, endpoint, tier, expected_tokens)
        self._groups.start(endpoint, attempt_id, use, now_ms)
        return True

    def can_resume(self, endpoint: str, pool: str) -> bool:
        """Return whether streams of a pool can be resumed at an endpoint.

        It need not be one that this instance chooses for new requests.

        :param endpoint: name of the endpoint.
        :param pool: a model name, or ``service:`` followed by a service name.
        """
        group = self._groups.group_of(endpoint)
        return group is not None and pool in group.pools

    def record_resume(
        self, endpoint: str, attempt_id: str, tier: int, now_ms: int
    ) -> None:
        """Count an attempt that resumes a stream of a lost instance without a credit.

        The credit of that instance is still reserved, and this instance keeps its own
        credits for other requests.  The home is told at once, so that it counts the
        attempt when it discards the credits of the lost instance.

        :param endpoint: name of the endpoint; ignored if it is not active.
        :param attempt_id: identifier of the attempt.
        :param tier: tier of the request.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        group = self._groups.group_of(endpoint)
        if group is None:
            return
        use = make_attempt_use(group, endpoint, tier, tokens=0)
        self._groups.start(endpoint, attempt_id, use._replace(has_credit=False), now_ms)
        self._groups.holdings[group.key].must_report = True

    def release(self, attempt_id: str, now_ms: int) -> None:
        """Release the credit of an attempt that has ended.

        :param attempt_id: identifier of the attempt; an unknown one is ignored.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._groups.end(attempt_id)

    def set_demand(self, pool: str, by_tier: dict[int, int], now_ms: int) -> None:
        """Set how many requests of a pool run or wait on this instance.

        :param pool: a model name, or ``service:`` followed by a service name.
        :param by_tier: number of running and waiting requests by tier.
        :param now_ms: the current time.
        """
        self._groups.demand.set(pool, by_tier, now_ms)

    def receive(
        self,
        sender: str,
        message: tuple[object, ...],
        view: MemberView,
        now_ms: int,
    ) -> list[Action]:
        """Handle a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        self._set_view(view, now_ms)
        if isinstance(message, CreditReport):
            return self._home_handler.receive_report(sender, message, view, now_ms)
        if isinstance(message, CreditGrant):
            return self._report_handler.receive_grant(sender, message, view, now_ms)
        if isinstance(message, CreditAsk):
            return self._report_handler.receive_report_request(
                sender, message, view, now_ms
            )
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Run the periodic work that is due.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        self._set_view(view, now_ms)
        self._groups.demand.drop_expired(now_ms)
        actions = self._home_handler.tick(view, now_ms)
        actions += self._report_handler.send_reports(view, now_ms)
        return actions

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return unused credits before this instance leaves.

        It continues to report running requests until they have ended.

        :param view: the current membership view, without this instance.
        :param now_ms: the current time.
        """
        self._groups.is_leaving = True
        self._set_view(view, now_ms)
        for holding in self._groups.holdings.values():
            holding.release_unused()
            holding.must_report = True
        return self._report_handler.send_reports(view, now_ms)

    def record_load(self, report: LoadReported) -> None:
        """Record a load report, which is relayed with grants.

        :param report: a report fetched by this instance.
        """
        self._relay.record_load(report, self._now_ms)

    def pop_reports(self) -> list[LoadReported]:
        """Return the load reports received with grants since the last call."""
        return self._relay.pop_reports()

    def count_reclaimed(self, pool: str) -> int:
        """Return how many running requests of a pool exceed the granted levels.

        Their slots are needed by another instance.

        :param pool: a model name, or ``service:`` followed by a service name.
        """
        excess = 0
        for candidate in self._groups.choose_candidates(pool):
            holding = self._groups.holdings[candidate.group]
            if holding.pressing_tier >= 0:
                number = hash_name(candidate.endpoint)
                in_use = holding.in_use.get(number, 0)
                excess += max(0, in_use - self._level(holding.group, number))
        return excess

    def pressing_tier(self, pool: str) -> int:
        """Return the highest tier that lacks credit on any instance, or -1.

        :param pool: a model name, or ``service:`` followed by a service name.
        """
        keys = {candidate.group for candidate in self._groups.choose_candidates(pool)}
        tiers = [self._groups.holdings[key].pressing_tier for key in keys]
        return min((tier for tier in tiers if tier >= 0), default=-1)

    def _level(self, group: EndpointGroup, endpoint: int) -> int:
        allocator = self._home_handler.find(group.key)
        if allocator is not None:
            return allocator.own_level(endpoint, self._now_ms)
        level = self._groups.holdings[group.key].level(endpoint, self._now_ms)
        return self._survival_level(group, endpoint) if level is None else level

    def _survival_level(self, group: EndpointGroup, endpoint: int) -> int:
        """Return what may be used although the home is unresponsive.

        A home that is alive in the view but unreachable would otherwise stop all work
        here.  Each member then uses an equal part of a share of the capacity, so that
        all of them together overcommit the capacity by at most that share.
        """
        if not self._groups.holdings[group.key].is_home_unresponsive(self._now_ms):
            return 0
        names = sorted(self._members.list_alive(group.region))
        if self.instance not in names:
            return 0
        total = int(group.capacities[endpoint] * self.settings.survival_share)
        position = (names.index(self.instance) + endpoint) % len(names)
        equal_part, remainder = divmod(total, len(names))
        return equal_part + (position < remainder)

    def _has_tokens(
        self, group: EndpointGroup, endpoint: str, expected_tokens: int
    ) -> bool:
        """Return whether the limit of outstanding tokens permits an attempt.

        The limit is divided like the requests.  A request larger than the whole part
        runs alone; otherwise it would never run.
        """
        limit = self._groups.endpoints[endpoint].get('outstanding_tokens', 0)
        number = hash_name(endpoint)
        holding = self._groups.holdings[group.key]
        if not limit or not holding.used_credits(number):
            return True
        share = self._level(group, number) / group.capacities[number]
        return holding.tokens.get(number, 0) + expected_tokens <= limit * share

    def _set_view(self, view: MemberView, now_ms: int) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        self._groups.set_region(view.own.region)
        previous = self._view
        self._view = view
        if previous is not None and view.alive is previous.alive:
            return
        self._members.set_view(view, now_ms)
        self._home_table.set_view(view)
        if previous is None:
            # Before the first view this instance was the home of every group.  It must
            # not conclude from this that no other instance holds credits.
            for key in self._groups.holdings:
                self._home_handler.resign_home(key)
        self._update_homes(now_ms)

    def _update_homes(self, now_ms: int) -> None:
        """Become or resign the home of each group, by the current members."""
        for key, holding in self._groups.holdings.items():
            home = self._home_table.home_of(key)
            if home is not None:
                name = home.instance
            else:
                name = '' if self._groups.is_leaving else self.instance
            holding.set_home(name)
            if name == self.instance:
                self._home_handler.become_home(holding, now_ms)
            else:
                self._home_handler.resign_home(key)
