"""What the holder of the duties orders next."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.server_fleet import DomainFleet, ServerFleet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.configuration.service import Service
    from savorychute.gateway.duties.duty_records import DutyRecords
    from savorychute.gateway.duties.server_policies import ServerPolicy
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry

# What stands must not have changed for so long before it is taken for what its operators
# set up: endpoints and instances begin at the same time.
STABLE_MS = 2_000
# A new endpoint serves after some seconds; only then is an order given again.
AGAIN_MS = 8_000
# When none can be had, or there was no answer.
RETRY_MS = 1_000
# How long an endpoint may be missing before another is ordered: most are back by then.
MISSING_MS = 6_000


class ServerOrder(NamedTuple):
    """A number of endpoints of one kind in one failure domain: a state, not a step."""

    service: str
    failure_domain: str
    reclaimable: bool
    number: int
    reason: str


class ServerDuty:
    """Brings what stands to what is wanted.

    What is wanted is decided once, from what stood before, and lies in the store; whoever
    holds the duties next goes on with it.  Nothing is ordered on a view that may be partial,
    so what stands goes on standing.  Lasting endpoints are given back only when all
    reclaimable ones serve.

    :param policy: decides how many are wanted.
    :param records: where what is wanted lies.
    """

    def __init__(self, policy: ServerPolicy, records: DutyRecords) -> None:
        self._policy = policy
        self._records = records
        self._seen: dict[str, ServerFleet] = {}
        self._seen_ms: dict[str, int] = {}
        # The last order of each kind, and when it may be given again.
        self._given: dict[tuple[str, str, bool], tuple[int, int]] = {}
        self._short_ms: dict[tuple[str, str, bool], int] = {}
        self._busy: set[tuple[str, str, bool]] = set()

    def observe(
        self, services: Iterable[Service], entries: Iterable[EndpointEntry], now_ms: int
    ) -> None:
        """Take in what stands; not to be called with a view that may be partial.

        :param services: of the configuration in force.
        :param entries: of all endpoints.
        :param now_ms: the time.
        """
        scaled = [each for each in services if each.scaling is not None]
        counts = _count(scaled, entries)
        for service in scaled:
            found = counts[service.name]
            fleet = ServerFleet(service.name, tuple(sorted(found.items())))
            if fleet != self._seen.get(service.name):
                self._seen[service.name] = fleet
                self._seen_ms[service.name] = now_ms

    def undecided(self, services: Iterable[Service], now_ms: int) -> list[ServerFleet]:
        """Return what is to be wanted of services of which nothing is decided yet.

        :param services: of the configuration in force.
        :param now_ms: the time.
        """
        found = []
        for service in services:
            standing = self._seen.get(service.name)
            if service.scaling is None or standing is None:
                continue
            if self._records.wanted_fleet(service.name) is not None:
                continue
            if now_ms - self._seen_ms[service.name] < STABLE_MS:
                continue
            # With reclaimable ones among them they are not as operators set them up.
            if any(fleet.reclaimable for _, fleet in standing.domains):
                continue
            wanted = self._policy(standing, service.scaling)
            if wanted is not None:
                found.append(wanted)
        return found

    def orders(self, services: Iterable[Service], now_ms: int) -> list[ServerOrder]:
        """Return the orders that are due; each must be ended by :meth:`order_ended`.

        :param services: of the configuration in force.
        :param now_ms: the time.
        """
        orders: list[ServerOrder] = []
        for service in services:
            wanted = self._records.wanted_fleet(service.name)
            standing = self._seen.get(service.name)
            if service.scaling is None or wanted is None or standing is None:
                continue
            most = service.scaling.most
            if any(fleet.total > most for _, fleet in wanted.domains):
                continue  # The bounds were changed since.
            orders += self._orders_of(wanted, standing, most, now_ms)
        for order in orders:
            self._busy.add(_key(order))
        return orders

    def _orders_of(
        self, wanted: ServerFleet, standing: ServerFleet, most: int, now_ms: int
    ) -> list[ServerOrder]:
        orders = []
        complete = True
        stands = dict(standing.domains)
        for domain, fleet in wanted.domains:
            have = stands.get(domain, DomainFleet())
            # The bound holds for both kinds, so there is no room for all of them at once.
            room = most - max(have.lasting, fleet.lasting)
            number = min(fleet.reclaimable, room)
            complete = complete and have.reclaimable >= number
            order = ServerOrder(wanted.service, domain, True, number, wanted.reason)
            missing = have.reclaimable < number
            if self._is_due(order, missing, have.reclaimable > 0, now_ms):
                orders.append(order)
        least = _least_lasting(wanted, standing)
        for domain, fleet in wanted.domains:
            have = stands.get(domain, DomainFleet())
            number = max(fleet.lasting, min(least, have.lasting))
            order = ServerOrder(wanted.service, domain, False, number, wanted.reason)
            differs = have.lasting < number or (complete and have.lasting > number)
            may_return = have.lasting < number
            if self._is_due(order, differs, may_return, now_ms):
                orders.append(order)
        return orders

    def _is_due(
        self, order: ServerOrder, differs: bool, may_return: bool, now_ms: int
    ) -> bool:
        """Return whether to give an order now.

        :param differs: whether what stands is not what is wanted.
        :param may_return: whether the difference may be endpoints that come back.
        """
        key = _key(order)
        if not differs:
            self._short_ms.pop(key, None)
            return False
        since_ms = self._short_ms.setdefault(key, now_ms)
        if key in self._busy:
            return False
        last_number, next_ms = self._given.get(key, (-1, now_ms))
        if order.number != last_number:
            return True
        if may_return and now_ms - since_ms < MISSING_MS:
            return False
        return now_ms >= next_ms

    def order_ended(
        self, order: ServerOrder, outcome: DutyOutcome, now_ms: int
    ) -> None:
        """Take in how the platform took an order.

        :param order: the order.
        :param outcome: what it answered.
        :param now_ms: the time.
        """
        key = _key(order)
        self._busy.discard(key)
        accepted = outcome is DutyOutcome.ACCEPTED
        next_ms = now_ms + (AGAIN_MS if accepted else RETRY_MS)
        self._given[key] = (order.number, next_ms)


def _key(order: ServerOrder) -> tuple[str, str, bool]:
    return order.service, order.failure_domain, order.reclaimable


def _least_lasting(wanted: ServerFleet, standing: ServerFleet) -> int:
    """Return how many lasting endpoints each failure domain needs for now.

    With them, the loss of all reclaimable ones of a domain leaves what stood before.
    """
    reclaimable = sum(fleet.reclaimable for _, fleet in standing.domains)
    left = reclaimable - standing.largest_reclaim()
    return ceil((wanted.replaced - left) / len(wanted.domains))


def _count(
    services: Iterable[Service], entries: Iterable[EndpointEntry]
) -> dict[str, dict[str, DomainFleet]]:
    """Return what stands of each service; endpoints that leave do not count."""
    found = {
        service.name: {domain: DomainFleet() for domain, _ in service.scaling.prices}
        for service in services
        if service.scaling is not None
    }
    for entry in entries:
        domains = found.get(entry.service)
        if domains is None or entry.draining:
            continue
        lasting, reclaimable = domains.get(entry.failure_domain, DomainFleet())
        if entry.reclaimable:
            reclaimable += 1
        else:
            lasting += 1
        domains[entry.failure_domain] = DomainFleet(lasting, reclaimable)
    return found
