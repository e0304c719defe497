"""Responds to callers over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.requests.refusal import Refusal
    from savorychute.http.server_exchange import ServerExchange


class CallerExchange:
    """Responds to one exchange of the HTTP server.

    :param exchange: the exchange.
    :param adapter: translates the callers' protocol.
    """

    def __init__(self, exchange: ServerExchange, adapter: PlatformAdapter) -> None:
        self._exchange = exchange
        self._adapter = adapter

    def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole response."""
        self._exchange.respond(status, headers, body)

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of a response."""
        self._exchange.start(status, headers)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._exchange.send(data)

    def finish(self) -> None:
        """End the response."""
        self._exchange.finish()

    def abort(self) -> None:
        """Abort the response by closing the connection."""
        self._exchange.abort()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of the gateway."""
        response = self._adapter.encode_refusal(refusal, self._exchange.request)
        self._exchange.respond(
            response.status, tuple(response.headers.items()), response.body
        )
