"""An endpoint of a virtual run: a core, its place and its connections."""

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

    Listener = Callable[[Input], None]


class EndpointCore(Protocol):
    """What an engine and a plain service have in common."""

    is_up: bool
    leaving: bool
    refusing: bool
    silent: bool

    def next_event_ms(self) -> float | None:
        """Return when the core has something to do next."""
        ...

    def restart(self, now_ms: float) -> None:
        """Come up again."""
        ...


class EndpointHost:
    """Base of the two kinds of endpoints.

    :param heap: the run's heap.
    :param ledger: gets what is executed.
    :param document: name, place and address, as operators enter it.
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
        self.listeners: dict[str, Listener] = {}
        self._wake_ms: float | None = None

    def submit(self, start: StartAttempt, listener: Listener) -> None:
        """Take an attempt whose bytes have arrived.

        :param listener: gets the answer's inputs.
        """
        now_ms = self.heap.now_ms
        resumed = start.resume_offset >= 0
        self.ledger.arrivals.append(
            Arrival(now_ms, self.name, start.attempt_id, resumed)
        )
        self.starts[start.attempt_id] = start
        self.listeners[start.attempt_id] = listener
        self.take(start)
        self.arm()

    def take(self, start: StartAttempt) -> None:
        """Give an attempt to the core."""
        raise NotImplementedError

    def close(self, attempt_id: str) -> None:
        """Note that the other side closed an attempt's connection."""
        raise NotImplementedError

    def cancel(self, start: StartAttempt, keep: bool) -> None:
        """Carry out an explicit cancel."""
        raise NotImplementedError

    def poll(self, cursor: int) -> LoadReported | None:
        """Return a load report, or nothing if there is no answer."""
        raise NotImplementedError

    def crash(self) -> None:
        """Crash the core and break its connections."""
        raise NotImplementedError

    def set_silent(self, silent: bool) -> None:
        """Hang the core, or let it go on."""
        raise NotImplementedError

    def advance(self) -> None:
        """Bring the core up to the present and pass on what it emits."""
        raise NotImplementedError

    def restart(self) -> None:
        """Let the core come up again."""
        self.core.restart(self.heap.now_ms)

    def leave(self) -> None:
        """Refuse new work from now on, because the endpoint goes away."""
        self.core.leaving = True

    def arm(self) -> None:
        """See to it that the core is advanced when it has something to do."""
        due_ms = self.core.next_event_ms()
        if due_ms is None:
            return
        if self._wake_ms is None or due_ms < self._wake_ms:
            self._wake_ms = due_ms
            self.heap.call_at(due_ms, self._wake, due_ms)

    def note_execution(self, attempt_id: str, marker: str) -> None:
        """Note that the core runs an attempt."""
        start = self.starts[attempt_id]
        execution = Execution(
            self.heap.now_ms, self.name, attempt_id, start.request_id, marker
        )
        self.ledger.executions.append(execution)
        if self.ledger.on_execution is not None:
            self.ledger.on_execution(execution)

    def note_leaving(self) -> None:
        """Note that an instance was told that the endpoint is leaving."""
        self.ledger.leaving_ms.setdefault(self.name, self.heap.now_ms)

    def tell(self, attempt_id: str, *inputs: Input) -> None:
        """Send inputs to whoever made an attempt."""
        listener = self.listeners.get(attempt_id)
        if listener is None:
            return
        for told in inputs:
            listener(told)

    def forget(self, attempt_id: str) -> None:
        """Forget an attempt that is over."""
        self.listeners.pop(attempt_id, None)

    def _wake(self, due_ms: float) -> None:
        if self._wake_ms != due_ms:
            return
        self._wake_ms = None
        self.advance()
        self.arm()
