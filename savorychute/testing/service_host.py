"""A simulated plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptStarted,
    LoadReported,
)
from savorychute.testing.endpoint_host import EndpointHost
from savorychute.testing.markers import find_marker
from savorychute.testing.plain_service import (
    PlainService,
    ServiceAccepted,
    ServiceAnswered,
    ServiceBroken,
    ServiceRefused,
    ServiceRequest,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import StartAttempt
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.testing.event_heap import EventHeap
    from savorychute.testing.ledger import Ledger
    from savorychute.testing.plain_service import ServiceEvent


class ServiceHost(EndpointHost):
    """Passes calls to a :class:`PlainService` and returns its answers."""

    def __init__(
        self,
        heap: EventHeap,
        ledger: Ledger,
        document: EndpointDocument,
        service: PlainService,
    ) -> None:
        super().__init__(heap, ledger, document, service)
        self.service = service

    def start_attempt(self, start: StartAttempt) -> None:
        """Submit a call."""
        request = ServiceRequest(start.attempt_id, start.method, start.path, start.body)
        self._handle_events(self.service.submit(request, self.heap.now_ms))

    def close(self, attempt_id: str) -> None:
        """Remove the listener; the call continues."""
        self.discard_attempt(attempt_id)

    def cancel(self, start: StartAttempt, keep: bool) -> None:
        """Remove the listener; calls of a plain service can't be cancelled."""
        del keep
        self.discard_attempt(start.attempt_id)

    def poll(self, cursor: int) -> LoadReported | None:
        """Return None, because plain services report no load."""
        del cursor
        return None

    def crash(self) -> None:
        """Crash the service."""
        self._handle_events(self.service.crash(self.heap.now_ms))

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Make the service unresponsive, or let it continue."""
        self._handle_events(
            self.service.set_unresponsive(unresponsive, self.heap.now_ms)
        )
        self.schedule_wake()

    def advance(self) -> None:
        """Advance the service to the current time."""
        self._handle_events(self.service.advance(self.heap.now_ms))

    def _handle_events(self, events: Sequence[ServiceEvent]) -> None:
        for event in events:
            self._handle_event(event)

    def _handle_event(self, event: ServiceEvent) -> None:
        attempt_id = event.attempt_id
        if isinstance(event, ServiceAccepted):
            self.record_execution(attempt_id, find_marker(self.starts[attempt_id].body))
        elif isinstance(event, ServiceAnswered):
            size = len(event.body)
            self.notify(
                attempt_id,
                AttemptStarted(attempt_id, event.status, 'text/plain', ''),
                AttemptChunk(attempt_id, 0, size, event.body),
                AttemptEnded(attempt_id, size),
            )
            self.discard_attempt(attempt_id)
        elif isinstance(event, ServiceRefused):
            if event.leaving:
                self.record_leaving()
            self._fail(attempt_id, True, event.leaving, 'refused')
        elif isinstance(event, ServiceBroken):
            self._fail(attempt_id, False, False, 'crash')

    def _fail(self, attempt_id: str, refused: bool, leaving: bool, reason: str) -> None:
        crashed = not refused
        self.notify(
            attempt_id,
            AttemptFailed(attempt_id, True, refused, leaving, crashed, reason),
        )
        self.discard_attempt(attempt_id)
