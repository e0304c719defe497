"""A simulated endpoint: a stand-in, its failure domain and its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.testing.ledger import Arrival, Execution

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.actions import StartAttempt
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs import Input, LoadReported
    from savorychute.testing.event_heap import EventHeap
    from savorychute.testing.ledger import Ledger

    InputListener = Callable[[Input], None]


class EndpointCore(Protocol):
    """The common interface of engines and plain services."""

    is_up: bool
    leaving: bool
    refusing: bool
    unresponsive: bool

    def next_event_ms(self) -> float | None:
        """Return the time of the next event, or None."""
        ...

    def restart(self, now_ms: float) -> None:
        """Restart after a crash."""
        ...


class EndpointHost:
    """Base class of simulated engines and plain services.

    :param heap: the event heap of the simulation.
    :param ledger: records arrivals and executions.
    :param document: name, failure domain and address, as operators configure them.
    :param core: the stand-in.
    """

    def __init__(
        self,
        heap: EventHeap,
        ledger: Ledger,
        document: EndpointDocument,
        core: EndpointCore,
    ) -> None:
        self.heap = heap
        self.ledger = ledger
        self.document = document
        self.name = document['endpoint']
        self.failure_domain = document['failure_domain']
        self.core = core
        self.starts: dict[str, StartAttempt] = {}
        self.listeners: dict[str, InputListener] = {}
        self._wake_ms: float | None = None

    def submit(self, start: StartAttempt, listener: InputListener) -> None:
        """Accept an attempt whose request has arrived.

        :param listener: receives the inputs of the answer.
        """
        now_ms = self.heap.now_ms
        resumed = start.resume_offset >= 0
        self.ledger.arrivals.append(
            Arrival(now_ms, self.name, start.attempt_id, resumed)
        )
        self.starts[start.attempt_id] = start
        self.listeners[start.attempt_id] = listener
        self.start_attempt(start)
        self.schedule_wake()

    def start_attempt(self, start: StartAttempt) -> None:
        """Pass an attempt to the core."""
        raise NotImplementedError

    def close(self, attempt_id: str) -> None:
        """Handle that the instance closed the connection of an attempt."""
        raise NotImplementedError

    def cancel(self, start: StartAttempt, keep: bool) -> None:
        """Execute an explicit cancellation."""
        raise NotImplementedError

    def poll(self, cursor: int) -> LoadReported | None:
        """Return a load report, or None if there is no answer."""
        raise NotImplementedError

    def crash(self) -> None:
        """Crash the core and break its connections."""
        raise NotImplementedError

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Make the core unresponsive, or let it continue."""
        raise NotImplementedError

    def advance(self) -> None:
        """Advance the core to the current time and forward its events."""
        raise NotImplementedError

    def restart(self) -> None:
        """Restart the core."""
        self.core.restart(self.heap.now_ms)

    def leave(self) -> None:
        """Refuse new work from now on, because the endpoint is leaving."""
        self.core.leaving = True

    def schedule_wake(self) -> None:
        """Schedule a call of :meth:`advance` for the next event of the core."""
        due_ms = self.core.next_event_ms()
        if due_ms is None:
            return
        if self._wake_ms is None or due_ms < self._wake_ms:
            self._wake_ms = due_ms
            self.heap.call_at(due_ms, self._wake, due_ms)

    def record_execution(self, attempt_id: str, marker: str) -> None:
        """Record that the core runs an attempt."""
        start = self.starts[attempt_id]
        execution = Execution(
            self.heap.now_ms, self.name, attempt_id, start.request_id, marker
        )
        self.ledger.executions.append(execution)
        if self.ledger.on_execution is not None:
            self.ledger.on_execution(execution)

    def record_leaving(self) -> None:
        """Record that an instance learned that the endpoint is leaving."""
        self.ledger.leaving_ms.setdefault(self.name, self.heap.now_ms)

    def notify(self, attempt_id: str, *inputs: Input) -> None:
        """Send inputs to the listener of an attempt."""
        listener = self.listeners.get(attempt_id)
        if listener is None:
            return
        for message in inputs:
            listener(message)

    def discard_attempt(self, attempt_id: str) -> None:
        """Remove the listener of a finished attempt."""
        self.listeners.pop(attempt_id, None)

    def _wake(self, due_ms: float) -> None:
        if self._wake_ms != due_ms:
            return
        self._wake_ms = None
        self.advance()
        self.schedule_wake()
