"""A simulated connection from an instance to an endpoint."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from savorychute.inputs import AttemptFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.actions import StartAttempt
    from savorychute.inputs import Input
    from savorychute.testing.endpoint_host import EndpointHost
    from savorychute.testing.event_heap import EventHeap
    from savorychute.testing.network import Network

RETRANSMIT_MS = 100.0
BROKEN_AFTER_MS = 6_000.0


class Pipe:
    """One direction of a connection, which delivers in order.

    As with TCP, nothing is lost: bytes that are held back by a network partition arrive
    when it ends.  After ``BROKEN_AFTER_MS`` the connection counts as broken.
    """

    def __init__(
        self, heap: EventHeap, network: Network, source: str, target: str
    ) -> None:
        self._heap = heap
        self._network = network
        self._source = source
        self._target = target
        self._queue: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()

    def send(self, function: Callable[..., None], *args: Any) -> None:
        """Call *function* at the other end when the data arrives."""
        due_ms = self._heap.now_ms + self._network.delay_ms(self._source, self._target)
        self._queue.append((due_ms, function, args))
        self._heap.call_at(due_ms, self._arrive)

    def _arrive(self) -> None:
        now_ms = self._heap.now_ms
        while self._queue and self._queue[0][0] <= now_ms:
            if self._network.is_cut(self._source, self._target):
                self._heap.call_later(RETRANSMIT_MS, self._arrive)
                return
            _, function, args = self._queue.popleft()
            function(*args)


class Connection:
    """The connection of an attempt, for its request and its response.

    While the ``cancel_delay_ms`` of the network is set, a cancellation is
    delayed by this time, and the instance still receives what the endpoint
    sends in the meantime, although it has abandoned the attempt.

    :param start: the attempt.
    :param endpoint: the endpoint that receives the request.
    :param domain: the failure domain of the instance.
    :param receive: receives the inputs of the attempt at the instance.
    """

    def __init__(
        self,
        heap: EventHeap,
        network: Network,
        start: StartAttempt,
        endpoint: EndpointHost,
        domain: str,
        receive: Callable[[Connection, Input], None],
    ) -> None:
        self.start = start
        self.endpoint = endpoint
        self.is_open = True
        self.is_sent = False
        self._heap = heap
        self._network = network
        self._receive = receive
        self._request_pipe = Pipe(heap, network, domain, endpoint.failure_domain)
        self._response_pipe = Pipe(heap, network, endpoint.failure_domain, domain)

    def send_request(self) -> None:
        """Send the request."""
        self.is_sent = True
        self._request_pipe.send(self._arrive)
        self._heap.call_later(self.start.timeout_ms, self._time_out)

    def close(self) -> None:
        """Close the connection; the endpoint is notified later."""
        if self.is_open:
            self.is_open = False
            if self.is_sent:
                self._send_delayed(self.endpoint.close, self.start.attempt_id)

    def cancel(self, keep: bool) -> None:
        """Close the connection and ask the endpoint to keep or drop the stream."""
        if self.is_open:
            self.is_open = False
            if self.is_sent:
                self._send_delayed(self.endpoint.cancel, self.start, keep)

    def fail(self, sent: bool, crashed: bool, reason: str) -> None:
        """Report to the instance that the attempt failed."""
        attempt_id = self.start.attempt_id
        failed = AttemptFailed(attempt_id, sent, False, False, crashed, reason)
        self._deliver(failed)

    def _send_delayed(self, function: Callable[..., None], *args: Any) -> None:
        delay_ms = self._network.cancel_delay_ms
        self._heap.call_later(delay_ms, self._request_pipe.send, function, *args)

    def _arrive(self) -> None:
        if self.endpoint.core.is_up:
            self.endpoint.submit(self.start, self._answer)
        else:
            self._response_pipe.send(self.fail, True, True, 'reset')

    def _answer(self, message: Input) -> None:
        self._response_pipe.send(self._deliver, message)

    def _deliver(self, message: Input) -> None:
        if self.is_open or self._network.cancel_delay_ms:
            self._receive(self, message)

    def _time_out(self) -> None:
        if self.is_open:
            self.fail(True, False, 'timeout')
            self.close()
