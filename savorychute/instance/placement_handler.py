"""Sends orders to load and unload models, under the region's lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.instance.placement_demand import DemandEstimator
from savorychute.leases.order_request import OrderRequest
from savorychute.placement import EngineState, PlacementPlanner
from savorychute.routing.endpoint_table import make_poll

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs import LoadReported, OrderFinished
    from savorychute.instance.lease_handler import LeaseHandler
    from savorychute.instance.parts import InstanceParts
    from savorychute.placement import PlacementOrder

ACTIVE_STATE = 'active'
RETIRED_STATE = 'retired'
NEVER_REPORTED_MS = -1
UNAPPLIED_OUTCOMES = frozenset({'refused', 'fenced'})


class _TimedReport(NamedTuple):
    """A load report that this instance fetched itself, and its time."""

    report: LoadReported
    as_of_ms: int


class PlacementHandler:
    """Plans every few seconds while this instance holds the region's lease.

    Only reports that this instance has fetched itself are used: reports that
    instances relay to each other do not contain the loaded models.

    :param parts: the parts of the instance.
    :param lease_handler: sends the orders.
    """

    def __init__(self, parts: InstanceParts, lease_handler: LeaseHandler) -> None:
        self._parts = parts
        self._settings = parts.settings.placement
        self._lease_handler = lease_handler
        self._estimator = DemandEstimator(parts)
        self._planner: PlacementPlanner | None = None
        self._reports: dict[str, _TimedReport] = {}
        self._open_orders: dict[str, PlacementOrder] = {}
        self._next_plan_ms = 0
        self._order_count = 0

    def tick(self, now_ms: int) -> list[Action]:
        """Plan if a plan is due and the lease is held."""
        if not self._lease_handler.holds(now_ms):
            # The orders of the next holder are not visible to this instance,
            # so a plan that is resumed later would be based on stale state.
            self._planner = None
            self._open_orders.clear()
            return []
        if now_ms < self._next_plan_ms:
            return []
        self._next_plan_ms = now_ms + self._settings.plan_interval_ms
        return self._plan(now_ms)

    def handle_load_report(self, report: LoadReported, now_ms: int) -> None:
        """Store a report that this instance has fetched."""
        if report.endpoint not in self._parts.directory.endpoints:
            return
        as_of_ms = max(0, now_ms - report.age_ms)
        previous = self._reports.get(report.endpoint)
        if previous is None or previous.as_of_ms <= as_of_ms:
            self._reports[report.endpoint] = _TimedReport(report, as_of_ms)

    def handle_finished_order(self, finished: OrderFinished, now_ms: int) -> None:
        """Handle the outcome of an order."""
        order = self._open_orders.pop(finished.order_id, None)
        if order is None or self._planner is None:
            return
        if finished.outcome in UNAPPLIED_OUTCOMES:
            self._planner.record_refused_order(order.endpoint, order.target, now_ms)

    def _plan(self, now_ms: int) -> list[Action]:
        if self._planner is None:
            self._planner = PlacementPlanner(self._settings)
        documents = self._list_engines()
        self._discard_removed()
        engines = [self._make_engine_state(document) for document in documents]
        reports = [
            self._reports[engine.endpoint].report
            for engine in engines
            if now_ms - engine.as_of_ms <= self._settings.forget_ms
            and engine.as_of_ms != NEVER_REPORTED_MS
        ]
        demand = self._estimator.estimate(reports)
        orders = self._planner.plan(demand, engines, now_ms)
        actions = self._poll(engines, self._planner.stale_engines, now_ms)
        for order in orders:
            actions += self._send(order, now_ms)
        return actions

    def _send(self, order: PlacementOrder, now_ms: int) -> list[Action]:
        self._order_count += 1
        address = self._parts.address
        order_id = f'{address.instance}.{address.incarnation}.{self._order_count}'
        request = OrderRequest(
            order_id=order_id,
            lease=self._lease_handler.lease_name,
            endpoint=order.endpoint,
            verb=order.verb,
            target=order.target,
            why=order.why,
            resend=False,
        )
        self._open_orders[order_id] = order
        actions = self._lease_handler.request_order(request, now_ms)
        if not actions and self._planner is not None:
            del self._open_orders[order_id]
            self._planner.record_refused_order(order.endpoint, order.target, now_ms)
        return actions

    def _poll(
        self, engines: list[EngineState], stale_engines: frozenset[str], now_ms: int
    ) -> list[Action]:
        """Request reports that are stale, those that delayed a plan first."""
        oldest_ms = now_ms - self._settings.poll_interval_ms
        due_engines = [
            engine
            for engine in engines
            if engine.endpoint in stale_engines or engine.as_of_ms < oldest_ms
        ]
        due_engines.sort(
            key=lambda due: (due.endpoint not in stale_engines, due.as_of_ms)
        )
        endpoint_table = self._parts.endpoint_table
        return [
            make_poll(endpoint_table.state_of(engine.endpoint))
            for engine in due_engines[: self._settings.polls_per_plan]
            if engine.endpoint in endpoint_table
        ]

    def _list_engines(self) -> list[EndpointDocument]:
        region = self._parts.address.region
        return [
            document
            for document in self._parts.directory.endpoints.values()
            if 'models' in document
            and document['region'] == region
            and document['state'] != RETIRED_STATE
        ]

    def _discard_removed(self) -> None:
        endpoints = self._parts.directory.endpoints
        for name in [name for name in self._reports if name not in endpoints]:
            del self._reports[name]

    def _make_engine_state(self, document: EndpointDocument) -> EngineState:
        name = document['endpoint']
        timed_report = self._reports.get(name)
        state = EngineState(
            endpoint=name,
            failure_domain=document['failure_domain'],
            concurrent_requests=document['concurrent_requests'],
            allowed=frozenset(document.get('models', ())),
        )
        if timed_report is None:
            return state
        report = timed_report.report
        is_active = report.state == ACTIVE_STATE
        return state._replace(
            loaded=frozenset(report.models),
            as_of_ms=timed_report.as_of_ms,
            is_usable=is_active and self._parts.directory.is_usable(name),
        )
