"""One connection of a virtual run, from an instance to an endpoint."""

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
    """One direction of a connection: in order, held back by a cut.

    Nothing is lost, as with TCP: bytes that a cut holds back arrive when it
    ends.  After ``BROKEN_AFTER_MS`` the connection counts as broken.
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
        """Call *function* where the pipe ends, when this arrives."""
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
    """An attempt's connection: the request goes out, the answer comes back.

    While the network's ``cancel_delay_ms`` is set, a cancel takes that long to
    be carried out, and what the endpoint sends meanwhile still reaches the
    instance: an answer that it has given up.

    :param start: the attempt.
    :param endpoint: where it goes.
    :param domain: the instance's failure domain.
    :param receive: gets the attempt's inputs at the instance's side.
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
        self._out = Pipe(heap, network, domain, endpoint.failure_domain)
        self._back = Pipe(heap, network, endpoint.failure_domain, domain)

    def send_request(self) -> None:
        """Write the request."""
        self.is_sent = True
        self._out.send(self._arrive)
        self._heap.call_later(self.start.timeout_ms, self._time_out)

    def close(self) -> None:
        """Close without a further word; the endpoint learns of it later."""
        if self.is_open:
            self.is_open = False
            if self.is_sent:
                self._send_late(self.endpoint.close, self.start.attempt_id)

    def cancel(self, keep: bool) -> None:
        """Close, and tell the endpoint what to do with the stream."""
        if self.is_open:
            self.is_open = False
            if self.is_sent:
                self._send_late(self.endpoint.cancel, self.start, keep)

    def fail(self, sent: bool, crashed: bool, reason: str) -> None:
        """Report at the instance's side that the attempt failed."""
        attempt_id = self.start.attempt_id
        failed = AttemptFailed(attempt_id, sent, False, False, crashed, reason)
        self._deliver(failed)

    def _send_late(self, function: Callable[..., None], *args: Any) -> None:
        delay_ms = self._network.cancel_delay_ms
        self._heap.call_later(delay_ms, self._out.send, function, *args)

    def _arrive(self) -> None:
        if self.endpoint.core.is_up:
            self.endpoint.submit(self.start, self._answer)
        else:
            self._back.send(self.fail, True, True, 'reset')

    def _answer(self, told: Input) -> None:
        self._back.send(self._deliver, told)

    def _deliver(self, told: Input) -> None:
        if self.is_open or self._network.cancel_delay_ms:
            self._receive(self, told)

    def _time_out(self) -> None:
        if self.is_open:
            self.fail(True, False, 'timeout')
            self.close()
