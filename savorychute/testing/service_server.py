"""HTTP server of a stand-in plain service."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.testing.due_timer import DueTimer
from savorychute.testing.plain_service import (
    PlainService,
    ServiceAnswered,
    ServiceBroken,
    ServiceRefused,
    ServiceRequest,
)
from savorychute.testing.stand_in_http import LOOPBACK, echo_id, loop_ms, serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from savorychute.http.server_exchange import ServerExchange
    from savorychute.testing.plain_service import ServiceEvent

STATUS_UNAVAILABLE = 503


class ServiceServer:
    """Serves a :class:`PlainService` over HTTP.

    :param service: the service.
    """

    def __init__(self, service: PlainService) -> None:
        self.service = service
        self.port = 0
        self._exchanges: dict[str, ServerExchange] = {}
        self._due_timer = DueTimer(service.next_event_ms, self._advance)
        self._last_number = 0

    def handle(self, exchange: ServerExchange) -> None:
        """Handle one HTTP request."""
        if not self.service.is_up:
            exchange.abort()
            return
        self._last_number += 1
        request = exchange.request
        attempt_id = request.header('x-attempt-id') or f'n{self._last_number}'
        self._exchanges[attempt_id] = exchange
        call = ServiceRequest(attempt_id, request.method, request.target, request.body)
        self.apply(self.service.submit(call, loop_ms()))

    def apply(self, events: Sequence[ServiceEvent]) -> None:
        """Send events of the service, such as those caused by a fault."""
        for event in events:
            self._send(event)
        self._due_timer.rearm()

    def crash(self) -> None:
        """Crash the service, which breaks every open connection."""
        self.apply(self.service.crash(loop_ms()))

    def stop(self) -> None:
        """Stop the timer."""
        self._due_timer.stop()

    def _send(self, event: ServiceEvent) -> None:
        exchange = self._exchanges.get(event.attempt_id)
        if exchange is None:
            return
        if isinstance(event, ServiceAnswered):
            headers = [('content-type', 'text/plain'), *echo_id(exchange)]
            exchange.respond(event.status, headers, event.body)
        elif isinstance(event, ServiceRefused):
            headers = [('x-not-started', '1'), *echo_id(exchange)]
            if event.leaving:
                headers.append(('x-leaving', '1'))
            exchange.respond(STATUS_UNAVAILABLE, headers, b'')
        elif isinstance(event, ServiceBroken):
            exchange.abort()
        else:
            return
        self._exchanges.pop(event.attempt_id, None)

    def _advance(self) -> None:
        self.apply(self.service.advance(loop_ms()))


@asynccontextmanager
async def serve_service(
    service: PlainService, host: str = LOOPBACK, port: int = 0
) -> AsyncIterator[ServiceServer]:
    """Serve a plain service until the block ends.

    :param service: the service.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    stand_in = ServiceServer(service)
    async with serve(stand_in.handle, host, port) as http:
        stand_in.port = http.port
        try:
            yield stand_in
        finally:
            stand_in.stop()
