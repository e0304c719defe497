"""Load polls of engines and orders to them, over HTTP."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from savorychute.endpoints import DIALECTS
from savorychute.http.client_pool import ServerAddress
from savorychute.http.timed_call import submit_timed
from savorychute.inputs import OrderFinished

if TYPE_CHECKING:
    from savorychute.actions import PollEndpoint, SendOrder
    from savorychute.daemon.host_port import HostPort
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_response import HttpResponse

ORDER_DIALECT = 'openai-engine'
OK_STATUS = 200


class EngineControl:
    """Polls engines for their load and sends them orders.

    :param host: receives the inputs for the instance.
    :param pool: the connections to engines.
    """

    def __init__(self, host: HostPort, pool: ClientPool) -> None:
        self._host = host
        self._pool = pool

    def poll(self, poll: PollEndpoint) -> None:
        """Fetch a load report; if that fails, no input is delivered.

        :param poll: the endpoint to poll.
        """
        if poll.dialect not in DIALECTS:
            return
        request = DIALECTS.get(poll.dialect).build_poll(poll)
        if request is None:
            return
        submit_timed(
            self._pool,
            ServerAddress(poll.host, poll.port),
            request,
            self._host.settings.poll_timeout_ms,
            partial(self._finish_poll, poll),
            lambda failure: None,  # noqa: ARG005
        )

    def order(self, order: SendOrder) -> None:
        """Send an order to an engine.

        :param order: the order with its fencing number.
        """
        dialect = DIALECTS.get(ORDER_DIALECT)
        request = dialect.build_order(order)
        if request is None:
            self._host.deliver(OrderFinished(order.order_id, order.endpoint, 'refused'))
            return
        submit_timed(
            self._pool,
            ServerAddress(order.host, order.port),
            request,
            self._host.settings.order_timeout_ms,
            partial(self._finish_order, order),
            partial(self._fail_order, order),
            partial(self._can_send_order, order),
            # The response to an earlier order, if late, would be taken for its own.
            unused=True,
        )

    def _can_send_order(self, order: SendOrder) -> bool:
        """Return whether the order's lease is still valid.

        Since the instance checked its lease, the process may have been paused or the
        connection may have been slow.  An endpoint that does not check fencing
        numbers would then execute the order of an expired lease.
        """
        if not order.send_before_ms:
            return True
        return self._host.clock.now_ms() < order.send_before_ms

    def _finish_poll(self, poll: PollEndpoint, response: HttpResponse) -> None:
        if response.status != OK_STATUS:
            return
        report = DIALECTS.get(poll.dialect).read_load(poll.endpoint, response.body)
        if report is not None:
            self._host.deliver(report)

    def _finish_order(self, order: SendOrder, response: HttpResponse) -> None:
        dialect = DIALECTS.get(ORDER_DIALECT)
        self._host.deliver(dialect.read_order(order, response.status, response.body))

    def _fail_order(self, order: SendOrder, failure: CallFailure) -> None:
        outcome = 'unknown' if failure.sent else 'refused'
        self._host.deliver(OrderFinished(order.order_id, order.endpoint, outcome))
