"""Decides which endpoints the holder of the duties orders next."""

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

# Endpoints and instances start at the same time, so the current endpoints count as what
# the operators set up only after they have not changed for this time.
STABLE_VIEW_MS = 2_000
# A new endpoint takes some seconds to start serving; the same order is not repeated
# earlier.
REORDER_INTERVAL_MS = 8_000
# The delay after an order that was refused for lack of capacity, or got no response.
FAILED_ORDER_RETRY_MS = 1_000
# How long an endpoint may be missing before a replacement is ordered: most of them
# return within this time.
MISSING_GRACE_MS = 6_000


class ServerOrder(NamedTuple):
    """The desired number of endpoints of one kind in one failure domain.

    It states a total rather than an increment, so an order can be repeated safely.
    """

    service: str
    failure_domain: str
    reclaimable: bool
    number: int
    reason: str


class ServerDuty:
    """Brings the current endpoints in line with the desired ones.

    The desired fleet is decided once, from the fleet that the operators set up, and is
    written to the store; each later holder of the duties uses that decision. Nothing is
    ordered while the view may be incomplete, so existing endpoints stay. Lasting
    endpoints are released only once all reclaimable ones serve.

    :param policy: decides how many endpoints are desired.
    :param records: the records that hold the desired fleet.
    """

    def __init__(self, policy: ServerPolicy, records: DutyRecords) -> None:
        self._policy = policy
        self._records = records
        self._observed: dict[str, ServerFleet] = {}
        self._observed_since_ms: dict[str, int] = {}
        # The last order of each kind, and the earliest time of its repetition.
        self._last_orders: dict[tuple[str, str, bool], tuple[int, int]] = {}
        self._differs_since_ms: dict[tuple[str, str, bool], int] = {}
        self._in_flight: set[tuple[str, str, bool]] = set()

    def observe(
        self, services: Iterable[Service], entries: Iterable[EndpointEntry], now_ms: int
    ) -> None:
        """Record the current endpoints; do not call this with an incomplete view.

        :param services: the services of the applied configuration.
        :param entries: the entries of all endpoints.
        :param now_ms: the current time.
        """
        scaled = [each for each in services if each.scaling is not None]
        counts = _count_endpoints(scaled, entries)
        for service in scaled:
            domains = counts[service.name]
            fleet = ServerFleet(service.name, tuple(sorted(domains.items())))
            if fleet != self._observed.get(service.name):
                self._observed[service.name] = fleet
                self._observed_since_ms[service.name] = now_ms

    def decide_fleets(
        self, services: Iterable[Service], now_ms: int
    ) -> list[ServerFleet]:
        """Return the desired fleets of services that have no decision yet.

        :param services: the services of the applied configuration.
        :param now_ms: the current time.
        """
        decided = []
        for service in services:
            current = self._observed.get(service.name)
            if service.scaling is None or current is None:
                continue
            if self._records.desired_fleet(service.name) is not None:
                continue
            if now_ms - self._observed_since_ms[service.name] < STABLE_VIEW_MS:
                continue
            # Operators set up no reclaimable endpoints, so the fleet was changed by
            # earlier orders.
            if any(fleet.reclaimable for _, fleet in current.domains):
                continue
            desired = self._policy(current, service.scaling)
            if desired is not None:
                decided.append(desired)
        return decided

    def due_orders(self, services: Iterable[Service], now_ms: int) -> list[ServerOrder]:
        """Return the orders that are due; report each result with :meth:`order_ended`.

        :param services: the services of the applied configuration.
        :param now_ms: the current time.
        """
        orders: list[ServerOrder] = []
        for service in services:
            desired = self._records.desired_fleet(service.name)
            current = self._observed.get(service.name)
            if service.scaling is None or desired is None or current is None:
                continue
            max_per_domain = service.scaling.most
            if any(fleet.total > max_per_domain for _, fleet in desired.domains):
                continue  # The limits have changed since the decision.
            orders += self._service_orders(desired, current, max_per_domain, now_ms)
        for order in orders:
            self._in_flight.add(_order_key(order))
        return orders

    def _service_orders(
        self,
        desired: ServerFleet,
        current: ServerFleet,
        max_per_domain: int,
        now_ms: int,
    ) -> list[ServerOrder]:
        orders = []
        reclaimable_complete = True
        current_by_domain = dict(current.domains)
        for domain, fleet in desired.domains:
            actual = current_by_domain.get(domain, DomainFleet())
            # The limit applies to the sum of both kinds, so they may not all fit at the
            # same time.
            headroom = max_per_domain - max(actual.lasting, fleet.lasting)
            number = min(fleet.reclaimable, headroom)
            reclaimable_complete = reclaimable_complete and actual.reclaimable >= number
            order = ServerOrder(desired.service, domain, True, number, desired.reason)
            is_missing = actual.reclaimable < number
            if self._is_due(order, is_missing, actual.reclaimable > 0, now_ms):
                orders.append(order)
        min_lasting = _min_lasting_per_domain(desired, current)
        for domain, fleet in desired.domains:
            actual = current_by_domain.get(domain, DomainFleet())
            number = max(fleet.lasting, min(min_lasting, actual.lasting))
            order = ServerOrder(desired.service, domain, False, number, desired.reason)
            differs = actual.lasting < number or (
                reclaimable_complete and actual.lasting > number
            )
            can_return = actual.lasting < number
            if self._is_due(order, differs, can_return, now_ms):
                orders.append(order)
        return orders

    def _is_due(
        self, order: ServerOrder, differs: bool, can_return: bool, now_ms: int
    ) -> bool:
        """Return whether to send an order now.

        :param order: the order.
        :param differs: whether the current number differs from the desired one.
        :param can_return: whether missing endpoints may return on their own.
        :param now_ms: the current time.
        """
        key = _order_key(order)
        if not differs:
            self._differs_since_ms.pop(key, None)
            return False
        since_ms = self._differs_since_ms.setdefault(key, now_ms)
        if key in self._in_flight:
            return False
        last_number, next_ms = self._last_orders.get(key, (-1, now_ms))
        if order.number != last_number:
            return True
        if can_return and now_ms - since_ms < MISSING_GRACE_MS:
            return False
        return now_ms >= next_ms

    def order_ended(
        self, order: ServerOrder, outcome: DutyOutcome, now_ms: int
    ) -> None:
        """Record the result of an order.

        :param order: the order.
        :param outcome: the platform's response.
        :param now_ms: the current time.
        """
        key = _order_key(order)
        self._in_flight.discard(key)
        accepted = outcome is DutyOutcome.ACCEPTED
        next_ms = now_ms + (REORDER_INTERVAL_MS if accepted else FAILED_ORDER_RETRY_MS)
        self._last_orders[key] = (order.number, next_ms)


def _order_key(order: ServerOrder) -> tuple[str, str, bool]:
    return order.service, order.failure_domain, order.reclaimable


def _min_lasting_per_domain(desired: ServerFleet, current: ServerFleet) -> int:
    """Return how many lasting endpoints each failure domain needs at present.

    With this number, losing all reclaimable endpoints of one domain leaves as many
    endpoints as there were originally.
    """
    reclaimable = sum(fleet.reclaimable for _, fleet in current.domains)
    remaining = reclaimable - current.largest_reclaim()
    return ceil((desired.replaced - remaining) / len(desired.domains))


def _count_endpoints(
    services: Iterable[Service], entries: Iterable[EndpointEntry]
) -> dict[str, dict[str, DomainFleet]]:
    """Count the endpoints of each service, without those that are draining."""
    counts = {
        service.name: {domain: DomainFleet() for domain, _ in service.scaling.prices}
        for service in services
        if service.scaling is not None
    }
    for entry in entries:
        domains = counts.get(entry.service)
        if domains is None or entry.draining:
            continue
        lasting, reclaimable = domains.get(entry.failure_domain, DomainFleet())
        if entry.reclaimable:
            reclaimable += 1
        else:
            lasting += 1
        domains[entry.failure_domain] = DomainFleet(lasting, reclaimable)
    return counts
