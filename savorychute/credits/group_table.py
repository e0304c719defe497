"""Groups of endpoints and the credits that this instance holds of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.credits.endpoint_group import build_groups, hash_name
from savorychute.credits.group_holding import AttemptUse, GroupHolding, to_tier_counts
from savorychute.credits.pool_demand import PoolDemand
from savorychute.credits.subset import Candidate, choose_subset

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.endpoint_group import EndpointGroup
    from savorychute.credits.settings import CreditSettings

#: An instance receives spare credit of a group for this long after its last use.
SPARE_MEMORY_MS = 60_000


class GroupTable:
    """Groups, holdings, attempts and demand of one instance.

    :param settings: sizes and durations.
    :param instance: this instance's name.
    """

    def __init__(self, settings: CreditSettings, instance: str) -> None:
        self.settings = settings
        self.instance = instance
        self.region = ''
        self.is_leaving = False
        self.endpoints: dict[str, EndpointDocument] = {}
        self.holdings: dict[str, GroupHolding] = {}
        self.demand = PoolDemand(settings.demand_memory_ms)
        self._group_of: dict[str, EndpointGroup] = {}
        self._by_number: dict[int, str] = {}
        self._candidates: dict[str, tuple[Candidate, ...]] = {}
        self._shares: dict[tuple[str, str], float] = {}
        self._uses: dict[str, AttemptUse] = {}
        self._last_use_ms: dict[str, int] = {}

    def set_endpoints(self, endpoints: dict[str, EndpointDocument]) -> list[str]:
        """Replace the endpoints; return the keys of groups that changed or vanished.

        :param endpoints: endpoint documents by name.
        """
        groups = build_groups(endpoints, self.settings.group_size)
        self.endpoints = dict(endpoints)
        self._candidates.clear()
        self._shares.clear()
        self._group_of = {
            name: group for group in groups.values() for name in group.names.values()
        }
        before = self.holdings
        changed = [
            old_key
            for old_key, holding in before.items()
            if groups.get(old_key) != holding.group
        ]
        self.holdings = {
            key: before[key]
            if key in before and key not in changed
            else self._create_holding(group)
            for key, group in groups.items()
        }
        self._by_number = {group.number: key for key, group in groups.items()}
        return changed

    def set_region(self, region: str) -> None:
        """Set the region of this instance.

        :param region: name of the region.
        """
        if region != self.region:
            self.region = region
            self._candidates.clear()
            self._shares.clear()

    def group_of(self, endpoint: str) -> EndpointGroup | None:
        """Return the group of an endpoint, or ``None`` if the endpoint is not active.

        :param endpoint: name of the endpoint.
        """
        group = self._group_of.get(endpoint)
        if group is None or self.endpoints[endpoint]['state'] != 'active':
            return None
        return group

    def find(self, number: int) -> GroupHolding | None:
        """Return the holding of the group that has this number in messages.

        :param number: hash of the group's key.
        """
        return self.holdings.get(self._by_number.get(number, ''))

    def choose_candidates(self, pool: str) -> tuple[Candidate, ...]:
        """Return the endpoints of a pool that this instance uses.

        :param pool: a model name, or ``service:`` followed by a service name.
        """
        chosen = self._candidates.get(pool)
        if chosen is None:
            chosen = choose_subset(
                self.instance,
                self.region,
                [
                    holding.group
                    for holding in self.holdings.values()
                    if pool in holding.group.pools
                ],
                self.endpoints,
                self.settings.subset_size,
            )
            self._candidates[pool] = chosen
        return chosen

    def start(
        self, endpoint: str, attempt_id: str, use: AttemptUse, now_ms: int
    ) -> None:
        """Count an attempt.

        :param endpoint: endpoint that runs it.
        :param attempt_id: identifier of the attempt.
        :param use: what it uses.
        :param now_ms: the current time.
        """
        self._uses[attempt_id] = use
        self._last_use_ms[use.group] = now_ms
        self.holdings[self._group_of[endpoint].key].start(use)

    def end(self, attempt_id: str) -> None:
        """Stop counting an attempt; an unknown one is ignored.

        :param attempt_id: identifier of the attempt.
        """
        use = self._uses.pop(attempt_id, None)
        holding = None if use is None else self.holdings.get(use.group)
        if use is not None and holding is not None:
            holding.end(use)

    def wants_spare(self, holding: GroupHolding, now_ms: int) -> bool:
        """Return whether spare credit beyond the demand is wanted.

        :param holding: holding of the group.
        :param now_ms: the current time.
        """
        last_use_ms = self._last_use_ms.get(holding.group.key)
        is_recent = last_use_ms is not None and now_ms - last_use_ms < SPARE_MEMORY_MS
        return not self.is_leaving and (is_recent or holding.is_used)

    def waiting(self, holding: GroupHolding) -> tuple[int, ...]:
        """Return how many requests wait for a group, by tier.

        :param holding: holding of the group.
        """
        wanted: dict[int, float] = {}
        for pool in sorted(holding.group.pools):
            share = self._share_of(pool, holding.group)
            for tier, count in self.demand.of(pool).items():
                wanted[tier] = wanted.get(tier, 0.0) + count * share
        if not wanted:
            return ()
        return to_tier_counts(
            {
                tier: math.ceil(count) - holding.running.get(tier, 0)
                for tier, count in wanted.items()
            }
        )

    def _create_holding(self, group: EndpointGroup) -> GroupHolding:
        """Return a holding that counts what runs at the group's endpoints.

        An amended endpoint may have moved to another group while attempts were running.
        """
        holding = GroupHolding(group, self.settings.grant_ms)
        for attempt_id, use in list(self._uses.items()):
            if use.endpoint in group.names:
                moved = use._replace(group=group.key)
                self._uses[attempt_id] = moved
                holding.start(moved)
        return holding

    def _share_of(self, pool: str, group: EndpointGroup) -> float:
        """Return the share of a pool's demand that goes to a group."""
        share = self._shares.get((pool, group.key))
        if share is None:
            share = self._shares[pool, group.key] = self._compute_share(pool, group)
        return share

    def _compute_share(self, pool: str, group: EndpointGroup) -> float:
        total = 0
        own = 0
        for candidate in self.choose_candidates(pool):
            capacity = self.endpoints[candidate.endpoint]['concurrent_requests']
            total += capacity
            if candidate.group == group.key:
                own += capacity
        return own / total if total else 0.0


def make_attempt_use(
    group: EndpointGroup, endpoint: str, tier: int, tokens: int
) -> AttemptUse:
    """Return what an attempt uses.

    :param group: the group of the endpoint.
    :param endpoint: name of the endpoint.
    :param tier: tier of the request.
    :param tokens: number of tokens that the attempt may generate.
    """
    return AttemptUse(group.key, hash_name(endpoint), tier, tokens)
