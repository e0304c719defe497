"""Sending of orders to engines under leases."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from savorychute.actions.send_order import SendOrder
from savorychute.leases.order_request import LOAD, ROLE, OrderRequest
from savorychute.leases.order_result import OrderResult
from savorychute.leases.reported_models import ReportedModels
from savorychute.leases.sent_order import SentOrder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs.load_reported import LoadReported
    from savorychute.inputs.order_finished import OrderFinished
    from savorychute.leases.lease_manager import LeaseManager
    from savorychute.leases.lease_settings import LeaseSettings

CORRECTION_PREFIX = 'correction'


class OrderHandler:
    """Sends orders only while their lease is held, and verifies their effect.

    An endpoint that checks fencing numbers refuses every order of an earlier
    holder.  An endpoint that does not may execute an order that was in flight when
    its sender's lease ended.  The successor's wait makes that rare; if it happens,
    the next report differs from the state that the last order set, and the order
    is sent again.

    :param settings: the timeouts.
    :param leases: the manager of the leases.
    """

    def __init__(self, settings: LeaseSettings, leases: LeaseManager) -> None:
        self._settings = settings
        self._leases = leases
        self._endpoints: Mapping[str, EndpointDocument] = {}
        self._sent_orders: dict[str, SentOrder] = {}
        self._completed: dict[tuple[str, str], SentOrder] = {}
        self._reported_models: dict[str, ReportedModels] = {}
        self._results: deque[OrderResult] = deque(maxlen=settings.max_order_history)
        self._correction_count = 0
        self._observed_since_ms: int | None = None
        self.late_orders_by_endpoint: Counter[str] = Counter()
        self.unexplained_by_endpoint: Counter[str] = Counter()

    def set_endpoints(self, endpoints: Mapping[str, EndpointDocument]) -> None:
        """Set the endpoints of the configuration.

        :param endpoints: the endpoint documents by name.
        """
        self._endpoints = endpoints
        for name in [name for name in self._reported_models if name not in endpoints]:
            del self._reported_models[name]
        for key in [key for key in self._completed if key[0] not in endpoints]:
            del self._completed[key]
        for counter in (self.late_orders_by_endpoint, self.unexplained_by_endpoint):
            for name in [name for name in counter if name not in endpoints]:
                del counter[name]

    def results(self) -> tuple[OrderResult, ...]:
        """Return the results of the last orders, oldest first."""
        return tuple(self._results)

    def open_orders(self, lease: str) -> int:
        """Return the number of unanswered orders under a lease.

        A lease should be released only when there are none.

        :param lease: the lease's name.
        """
        return sum(order.request.lease == lease for order in self._sent_orders.values())

    def request_order(
        self, request: OrderRequest, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Send an order, or return the reason for not sending it.

        :param request: the requested change.
        """
        return self._send(request, late=False, now_ms=now_ms)

    def order_finished(
        self, finished: OrderFinished, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Handle the response of an endpoint.

        :param finished: the response.
        """
        order = self._sent_orders.pop(finished.order_id, None)
        if order is None:
            return []
        if finished.outcome == 'fenced':
            why = f'{finished.endpoint} has seen a newer fencing number'
            self._leases.surrender(order.request.lease, order.fencing, why)
        if finished.outcome in ('done', 'unknown'):
            self._record_completion(order, finished.outcome == 'done', now_ms)
        return [self._finish(order, finished.outcome)]

    def handle_report(
        self, report: LoadReported, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Handle an endpoint's report, and send corrections if necessary.

        :param report: the load report.
        """
        as_of_ms = now_ms - report.age_ms
        reported = ReportedModels(frozenset(report.models), as_of_ms)
        previous = self._reported_models.get(report.endpoint)
        if previous is not None and previous.as_of_ms > as_of_ms:
            return []
        self._reported_models[report.endpoint] = reported
        if previous is not None:
            self._count_unexplained(report.endpoint, previous, reported)
        outcomes: list[SendOrder | OrderResult] = []
        for (endpoint, target), order in list(self._completed.items()):
            if endpoint == report.endpoint:
                outcomes += self._correct(order, target, reported, now_ms)
        return outcomes

    def tick(self, now_ms: int) -> list[SendOrder | OrderResult]:
        """Return the results of orders that timed out."""
        if not self._leases.holds_any(now_ms):
            self._observed_since_ms = None
        elif self._observed_since_ms is None:
            self._observed_since_ms = now_ms
        overdue = [
            order
            for order in self._sent_orders.values()
            if now_ms - order.sent_ms >= self._settings.order_timeout_ms
        ]
        for order in overdue:
            del self._sent_orders[order.request.order_id]
            self._record_completion(order, False, now_ms)
        return [self._finish(order, 'unknown') for order in overdue]

    def _send(
        self, request: OrderRequest, late: bool, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        fencing = self._leases.holds(request.lease, now_ms)
        document = self._endpoints.get(request.endpoint)
        order = SentOrder(request, fencing or 0, now_ms, late)
        if fencing is None:
            return [self._finish(order, 'not-held')]
        if document is None:
            return [self._finish(order, 'refused')]
        self._completed.pop((request.endpoint, request.target), None)
        self._sent_orders[request.order_id] = order
        reported = self._reported_models.get(request.endpoint)
        return [
            SendOrder(
                order_id=request.order_id,
                endpoint=request.endpoint,
                host=document['host'],
                port=document['port'],
                verb=request.verb,
                target=request.target,
                fencing=fencing,
                expected_state=reported.describe() if reported else '',
                send_before_ms=self._leases.held_until_ms(request.lease),
            )
        ]

    def _record_completion(
        self, order: SentOrder, took_effect: bool, now_ms: int
    ) -> None:
        if order.request.verb != ROLE:
            request = order.request
            key = (request.endpoint, request.target)
            if request.verb == LOAD:
                # 'done' only means that loading has started; the effect counts from
                # the first report that shows it.
                took_effect = False
            self._completed[key] = order._replace(
                completed_ms=now_ms, took_effect=took_effect
            )

    def _count_unexplained(
        self, endpoint: str, previous: ReportedModels, reported: ReportedModels
    ) -> None:
        """Count models that were loaded or unloaded without an order of this holder.

        An earlier holder's late order is counted here if the endpoint does not check
        fencing numbers and this holder has sent no order about the model.  A restart
        of the engine is counted as well.
        """
        since_ms = self._observed_since_ms
        if since_ms is None or previous.as_of_ms < since_ms:
            return
        own_targets = {target for name, target in self._completed if name == endpoint}
        own_targets |= {
            order.request.target
            for order in self._sent_orders.values()
            if order.request.endpoint == endpoint
        }
        changed = (previous.models ^ reported.models) - own_targets
        self.unexplained_by_endpoint[endpoint] += len(changed)

    def _correct(
        self, order: SentOrder, target: str, reported: ReportedModels, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Send an order again if a report does not show its effect.

        If a report from after the order's response contradicts the order, either an
        old order arrived late or the engine restarted; both are counted.  Sending the
        order again is safe, because it states a target state, not a relative change.
        """
        request = order.request
        if reported.as_of_ms <= order.completed_ms:
            return []
        if (target in reported.models) == (request.verb == LOAD):
            key = (request.endpoint, target)
            self._completed[key] = order._replace(took_effect=True)
            return []
        if self._leases.holds(request.lease, now_ms) is None:
            return []
        late = order.took_effect
        timeout_ms = self._settings.order_timeout_ms
        if not late and now_ms - order.sent_ms < timeout_ms:
            return []
        if late:
            self.late_orders_by_endpoint[request.endpoint] += 1
        if not request.resend:
            if late:
                del self._completed[request.endpoint, target]
            return []
        self._correction_count += 1
        correction = request._replace(
            order_id=f'{CORRECTION_PREFIX}.{self._correction_count}.{order.fencing}',
            why=f'the effect of {request.order_id} is not there',
        )
        return self._send(correction, late=late, now_ms=now_ms)

    def _finish(self, order: SentOrder, outcome: str) -> OrderResult:
        request = order.request
        result = OrderResult(
            order_id=request.order_id,
            lease=request.lease,
            endpoint=request.endpoint,
            verb=request.verb,
            target=request.target,
            fencing=order.fencing,
            outcome=outcome,
            why=request.why,
            late=order.late,
        )
        self._results.append(result)
        return result
