"""A plain service of a virtual run."""

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
    """Passes calls to a :class:`PlainService` and its answers back."""

    def __init__(
        self,
        heap: EventHeap,
        ledger: Ledger,
        document: EndpointDocument,
        service: PlainService,
    ) -> None:
        super().__init__(heap, ledger, document, service)
        self.service = service

    def take(self, start: StartAttempt) -> None:
        """Submit a call."""
        request = ServiceRequest(start.attempt_id, start.method, start.path, start.body)
        self._pass(self.service.submit(request, self.heap.now_ms))

    def close(self, attempt_id: str) -> None:
        """Forget who waits; the call goes on."""
        self.forget(attempt_id)

    def cancel(self, start: StartAttempt, keep: bool) -> None:
        """Forget who waits; a plain service can't be cancelled."""
        del keep
        self.forget(start.attempt_id)

    def poll(self, cursor: int) -> LoadReported | None:
        """Return nothing: plain services report no load."""
        del cursor
        return None

    def crash(self) -> None:
        """Crash the service."""
        self._pass(self.service.crash(self.heap.now_ms))

    def set_silent(self, silent: bool) -> None:
        """Hang the service, or let it go on."""
        self._pass(self.service.set_silent(silent, self.heap.now_ms))
        self.arm()

    def advance(self) -> None:
        """Bring the service up to the present."""
        self._pass(self.service.advance(self.heap.now_ms))

    def _pass(self, events: Sequence[ServiceEvent]) -> None:
        for event in events:
            self._pass_one(event)

    def _pass_one(self, event: ServiceEvent) -> None:
        attempt_id = event.attempt_id
        if isinstance(event, ServiceAccepted):
            self.note_execution(attempt_id, find_marker(self.starts[attempt_id].body))
        elif isinstance(event, ServiceAnswered):
            size = len(event.body)
            self.tell(
                attempt_id,
                AttemptStarted(attempt_id, event.status, 'text/plain', ''),
                AttemptChunk(attempt_id, 0, size, event.body),
                AttemptEnded(attempt_id, size),
            )
            self.forget(attempt_id)
        elif isinstance(event, ServiceRefused):
            if event.leaving:
                self.note_leaving()
            self._fail(attempt_id, True, event.leaving, 'refused')
        elif isinstance(event, ServiceBroken):
            self._fail(attempt_id, False, False, 'crash')

    def _fail(self, attempt_id: str, refused: bool, leaving: bool, reason: str) -> None:
        crashed = not refused
        self.tell(
            attempt_id,
            AttemptFailed(attempt_id, True, refused, leaving, crashed, reason),
        )
        self.forget(attempt_id)
