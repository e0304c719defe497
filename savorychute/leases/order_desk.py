"""Send orders to engines under leases."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from savorychute.actions.send_order import SendOrder
from savorychute.leases.endpoint_reading import EndpointReading
from savorychute.leases.order_request import LOAD, ROLE, OrderRequest
from savorychute.leases.order_result import OrderResult
from savorychute.leases.sent_order import SentOrder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs.load_reported import LoadReported
    from savorychute.inputs.order_finished import OrderFinished
    from savorychute.leases.lease_keeper import LeaseKeeper
    from savorychute.leases.lease_settings import LeaseSettings

CORRECTION_PREFIX = 'correction'


class OrderDesk:
    """Sends an order only while its lease is held, and watches what it did.

    An endpoint that checks fencing numbers refuses every order of an earlier
    holder.  One that does not may carry out an order that was under way when
    its sender's lease ended.  The successor's wait makes that rare; where it
    happens all the same, the next report shows another state than the last
    order brought about, and the order is sent again.

    :param settings: timeouts.
    :param keeper: the leases.
    """

    def __init__(self, settings: LeaseSettings, keeper: LeaseKeeper) -> None:
        self._settings = settings
        self._keeper = keeper
        self._endpoints: Mapping[str, EndpointDocument] = {}
        self._sent: dict[str, SentOrder] = {}
        self._settled: dict[tuple[str, str], SentOrder] = {}
        self._readings: dict[str, EndpointReading] = {}
        self._results: deque[OrderResult] = deque(maxlen=settings.max_order_history)
        self._count = 0
        self._watched_since_ms: int | None = None
        self.late_orders_by_endpoint: Counter[str] = Counter()
        self.unexplained_by_endpoint: Counter[str] = Counter()

    def set_endpoints(self, endpoints: Mapping[str, EndpointDocument]) -> None:
        """Take over the endpoints of the configuration.

        :param endpoints: documents by name.
        """
        self._endpoints = endpoints
        for name in [name for name in self._readings if name not in endpoints]:
            del self._readings[name]
        for key in [key for key in self._settled if key[0] not in endpoints]:
            del self._settled[key]
        for counter in (self.late_orders_by_endpoint, self.unexplained_by_endpoint):
            for name in [name for name in counter if name not in endpoints]:
                del counter[name]

    def results(self) -> tuple[OrderResult, ...]:
        """Return how the last orders ended, oldest first."""
        return tuple(self._results)

    def open_orders(self, lease: str) -> int:
        """Return how many orders under a lease are not answered yet.

        A lease should be released only when there are none.

        :param lease: the lease's name.
        """
        return sum(order.request.lease == lease for order in self._sent.values())

    def request_order(
        self, request: OrderRequest, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Send an order, or say why not.

        :param request: what is wanted.
        """
        return self._send(request, late=False, now_ms=now_ms)

    def order_finished(
        self, finished: OrderFinished, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Take in the answer of an endpoint.

        :param finished: the answer.
        """
        order = self._sent.pop(finished.order_id, None)
        if order is None:
            return []
        if finished.outcome == 'fenced':
            why = f'{finished.endpoint} has seen a newer fencing number'
            self._keeper.surrender(order.request.lease, order.fencing, why)
        if finished.outcome in ('done', 'unknown'):
            self._settle(order, finished.outcome == 'done', now_ms)
        return [self._end(order, finished.outcome)]

    def report(
        self, report: LoadReported, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Take in what an endpoint says of itself, and put it right if need be.

        :param report: its load report.
        """
        as_of_ms = now_ms - report.age_ms
        reading = EndpointReading(frozenset(report.models), as_of_ms)
        before = self._readings.get(report.endpoint)
        if before is not None and before.as_of_ms > as_of_ms:
            return []
        self._readings[report.endpoint] = reading
        if before is not None:
            self._count_unexplained(report.endpoint, before, reading)
        outcomes: list[SendOrder | OrderResult] = []
        for (endpoint, target), order in list(self._settled.items()):
            if endpoint == report.endpoint:
                outcomes += self._put_right(order, target, reading, now_ms)
        return outcomes

    def tick(self, now_ms: int) -> list[SendOrder | OrderResult]:
        """End orders that were never answered."""
        if not self._keeper.holds_any(now_ms):
            self._watched_since_ms = None
        elif self._watched_since_ms is None:
            self._watched_since_ms = now_ms
        late = [
            order
            for order in self._sent.values()
            if now_ms - order.sent_ms >= self._settings.order_timeout_ms
        ]
        for order in late:
            del self._sent[order.request.order_id]
            self._settle(order, False, now_ms)
        return [self._end(order, 'unknown') for order in late]

    def _send(
        self, request: OrderRequest, late: bool, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        fencing = self._keeper.holds(request.lease, now_ms)
        document = self._endpoints.get(request.endpoint)
        order = SentOrder(request, fencing or 0, now_ms, late)
        if fencing is None:
            return [self._end(order, 'not-held')]
        if document is None:
            return [self._end(order, 'refused')]
        self._settled.pop((request.endpoint, request.target), None)
        self._sent[request.order_id] = order
        reading = self._readings.get(request.endpoint)
        return [
            SendOrder(
                order_id=request.order_id,
                endpoint=request.endpoint,
                host=document['host'],
                port=document['port'],
                verb=request.verb,
                target=request.target,
                fencing=fencing,
                expected_state=reading.describe() if reading else '',
                send_before_ms=self._keeper.held_until_ms(request.lease),
            )
        ]

    def _settle(self, order: SentOrder, took_effect: bool, now_ms: int) -> None:
        if order.request.verb != ROLE:
            request = order.request
            key = (request.endpoint, request.target)
            if request.verb == LOAD:
                # Done means begun: its effect counts from when it is seen.
                took_effect = False
            self._settled[key] = order._replace(
                settled_ms=now_ms, took_effect=took_effect
            )

    def _count_unexplained(
        self, endpoint: str, before: EndpointReading, reading: EndpointReading
    ) -> None:
        """Count models that came or went without an order of this holder.

        An old holder's late order to an endpoint that does not check shows
        here when it is about a model that this holder has not touched.  An
        engine that starts anew shows alike.
        """
        since_ms = self._watched_since_ms
        if since_ms is None or before.as_of_ms < since_ms:
            return
        own = {target for name, target in self._settled if name == endpoint}
        own |= {
            order.request.target
            for order in self._sent.values()
            if order.request.endpoint == endpoint
        }
        changed = (before.models ^ reading.models) - own
        self.unexplained_by_endpoint[endpoint] += len(changed)

    def _put_right(
        self, order: SentOrder, target: str, reading: EndpointReading, now_ms: int
    ) -> list[SendOrder | OrderResult]:
        """Send an order again whose effect is not there.

        A report from after the order's answer that contradicts it means that
        an old order arrived late or that the engine started anew; both are
        counted.  To send the order again is safe, because it names a state and
        not a step.
        """
        request = order.request
        if reading.as_of_ms <= order.settled_ms:
            return []
        if (target in reading.models) == (request.verb == LOAD):
            key = (request.endpoint, target)
            self._settled[key] = order._replace(took_effect=True)
            return []
        if self._keeper.holds(request.lease, now_ms) is None:
            return []
        late = order.took_effect
        patience_ms = self._settings.order_timeout_ms
        if not late and now_ms - order.sent_ms < patience_ms:
            return []
        if late:
            self.late_orders_by_endpoint[request.endpoint] += 1
        if not request.repeat:
            if late:
                del self._settled[request.endpoint, target]
            return []
        self._count += 1
        again = request._replace(
            order_id=f'{CORRECTION_PREFIX}.{self._count}.{order.fencing}',
            why=f'the effect of {request.order_id} is not there',
        )
        return self._send(again, late=late, now_ms=now_ms)

    def _end(self, order: SentOrder, outcome: str) -> OrderResult:
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
