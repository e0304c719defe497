"""Orders models to where they are wanted, while this instance may."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.instance.placement_demand import DemandGatherer
from savorychute.leases.order_request import OrderRequest
from savorychute.placement import EngineState, PlacementPlanner
from savorychute.routing.endpoint_table import make_poll

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs import LoadReported, OrderFinished
    from savorychute.instance.lease_desk import LeaseDesk
    from savorychute.instance.parts import Parts
    from savorychute.placement import PlacementOrder

ACTIVE = 'active'
RETIRED = 'retired'
NEVER_MS = -1
WITHOUT_EFFECT = frozenset({'refused', 'fenced'})


class _Reading(NamedTuple):
    """A report that this instance has fetched itself, and its time."""

    report: LoadReported
    as_of_ms: int


class PlacementDesk:
    """Plans every few seconds while this instance holds the region's lease.

    Only reports that this instance has fetched itself count: those passed on
    between instances do not tell which models are loaded.

    :param parts: the parts of the instance.
    :param lease_desk: sends the orders.
    """

    def __init__(self, parts: Parts, lease_desk: LeaseDesk) -> None:
        self._parts = parts
        self._settings = parts.settings.placement
        self._lease_desk = lease_desk
        self._gatherer = DemandGatherer(parts)
        self._planner: PlacementPlanner | None = None
        self._readings: dict[str, _Reading] = {}
        self._open: dict[str, PlacementOrder] = {}
        self._due_ms = 0
        self._count = 0

    def tick(self, now_ms: int) -> list[Action]:
        """Plan, if it is time and the lease is held."""
        if not self._lease_desk.holds(now_ms):
            # What the next holder does is not seen here, so a plan that is
            # taken up again after a break would rest on what was true before.
            self._planner = None
            self._open.clear()
            return []
        if now_ms < self._due_ms:
            return []
        self._due_ms = now_ms + self._settings.plan_interval_ms
        return self._plan(now_ms)

    def note_load(self, report: LoadReported, now_ms: int) -> None:
        """Take in a report that this instance has fetched."""
        if report.endpoint not in self._parts.directory.endpoints:
            return
        as_of_ms = max(0, now_ms - report.age_ms)
        before = self._readings.get(report.endpoint)
        if before is None or before.as_of_ms <= as_of_ms:
            self._readings[report.endpoint] = _Reading(report, as_of_ms)

    def note_order(self, finished: OrderFinished, now_ms: int) -> None:
        """Take in how an order ended."""
        order = self._open.pop(finished.order_id, None)
        if order is None or self._planner is None:
            return
        if finished.outcome in WITHOUT_EFFECT:
            self._planner.record_refused_order(order.endpoint, order.target, now_ms)

    def _plan(self, now_ms: int) -> list[Action]:
        if self._planner is None:
            self._planner = PlacementPlanner(self._settings)
        documents = self._list_engines()
        self._forget_removed()
        engines = [self._describe(document) for document in documents]
        reports = [
            self._readings[engine.endpoint].report
            for engine in engines
            if now_ms - engine.as_of_ms <= self._settings.forget_ms
            and engine.as_of_ms != NEVER_MS
        ]
        demand = self._gatherer.gather(reports)
        orders = self._planner.plan(demand, engines, now_ms)
        actions = self._poll(engines, self._planner.stale_engines, now_ms)
        for order in orders:
            actions += self._send(order, now_ms)
        return actions

    def _send(self, order: PlacementOrder, now_ms: int) -> list[Action]:
        self._count += 1
        address = self._parts.address
        order_id = f'{address.instance}.{address.incarnation}.{self._count}'
        request = OrderRequest(
            order_id=order_id,
            lease=self._lease_desk.lease_name,
            endpoint=order.endpoint,
            verb=order.verb,
            target=order.target,
            why=order.why,
            resend=False,
        )
        self._open[order_id] = order
        actions = self._lease_desk.request_order(request, now_ms)
        if not actions and self._planner is not None:
            del self._open[order_id]
            self._planner.record_refused_order(order.endpoint, order.target, now_ms)
        return actions

    def _poll(
        self, engines: list[EngineState], questions: frozenset[str], now_ms: int
    ) -> list[Action]:
        """Ask for reports that are old, those that held up a plan first."""
        oldest_ms = now_ms - self._settings.poll_interval_ms
        due = [
            engine
            for engine in engines
            if engine.endpoint in questions or engine.as_of_ms < oldest_ms
        ]
        due.sort(key=lambda each: (each.endpoint not in questions, each.as_of_ms))
        book = self._parts.book
        return [
            make_poll(book.state_of(engine.endpoint))
            for engine in due[: self._settings.polls_per_plan]
            if engine.endpoint in book
        ]

    def _list_engines(self) -> list[EndpointDocument]:
        region = self._parts.address.region
        return [
            document
            for document in self._parts.directory.endpoints.values()
            if 'models' in document
            and document['region'] == region
            and document['state'] != RETIRED
        ]

    def _forget_removed(self) -> None:
        endpoints = self._parts.directory.endpoints
        for name in [name for name in self._readings if name not in endpoints]:
            del self._readings[name]

    def _describe(self, document: EndpointDocument) -> EngineState:
        name = document['endpoint']
        reading = self._readings.get(name)
        state = EngineState(
            endpoint=name,
            failure_domain=document['failure_domain'],
            concurrent_requests=document['concurrent_requests'],
            allowed=frozenset(document.get('models', ())),
        )
        if reading is None:
            return state
        report = reading.report
        is_active = report.state == ACTIVE
        return state._replace(
            loaded=frozenset(report.models),
            as_of_ms=reading.as_of_ms,
            is_usable=is_active and self._parts.directory.is_usable(name),
        )
