"""An HTTP server that listens on a port."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.http.connection_budget import ConnectionBudget
from savorychute.http.listener import start_accepting
from savorychute.http.server_connection import ServerConnection
from savorychute.http.tls_handshake import TlsHandshake

if TYPE_CHECKING:
    import socket
    import ssl
    from collections.abc import AsyncIterator, Callable

    from savorychute.clock import Clock
    from savorychute.http.http_limits import HttpLimits
    from savorychute.http.server_exchange import ServerExchange
    from savorychute.http.slow_caller import SlowCallerReason

MS_PER_S = 1_000
SWEEP_INTERVAL_S = 0.25


class HttpServer:
    """The connections of a server, their limits, and the request callback.

    :param limits: the limits applied to callers.
    :param clock: the clock for deadlines.
    :param on_request: called with each complete request; must not block.
    :param budget: what the connections of the process may hold; an own one by default.
    :param reserved_places: connections that it may have beyond the limit of the budget,
        so that the platform's questions are answered when callers have all places.
    """

    def __init__(
        self,
        limits: HttpLimits,
        clock: Clock,
        on_request: Callable[[ServerExchange], None],
        budget: ConnectionBudget | None = None,
        reserved_places: int = 0,
    ) -> None:
        self.limits = limits
        self.on_request = on_request
        self.now_ms = clock.now_ms
        self.closing = False
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.connections: set[ServerConnection] = set()
        if budget is None:
            budget = ConnectionBudget(limits, clock.now_ms)
        self.budget = budget
        self._reserved_places = reserved_places
        # Called with the reason and the unread bytes of each slow caller that is ended.
        self.on_slow_caller: Callable[[SlowCallerReason, int], None] | None = None

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.connections)

    @property
    def buffered_bytes(self) -> int:
        """Size of the request bodies that all connections of the process hold."""
        return self.budget.body_bytes

    @property
    def unread_bytes(self) -> int:
        """Size of all response data that callers have not read yet."""
        return sum(connection.unread_bytes for connection in self.connections)

    def count_readers(self, stalled_ms: int) -> int:
        """Return how many callers still read responses that they do not have whole.

        :param stalled_ms: how long a caller may read nothing.
        """
        now_ms = self.now_ms()
        return sum(each.is_reading(now_ms, stalled_ms) for each in self.connections)

    def add(self, connection: ServerConnection) -> bool:
        """Register a connection; return false if there are too many.

        :param connection: the accepted connection.
        """
        self.connections.add(connection)
        return self.budget.admit(connection.share, self._reserved_places)

    def remove(self, connection: ServerConnection) -> None:
        """Remove a lost connection.

        :param connection: the lost connection.
        """
        self.connections.discard(connection)
        self.budget.remove(connection.share)

    def sweep(self) -> None:
        """Disconnect callers that send or read too slowly."""
        now_ms = self.now_ms()
        for connection in tuple(self.connections):
            connection.check_deadline(now_ms)
        self.budget.limit_unread()

    def report_slow_caller(self, reason: SlowCallerReason, unread_bytes: int) -> None:
        """Report that a slow caller was disconnected.

        :param reason: the limit that it exceeded.
        :param unread_bytes: what it had not read.
        """
        if self.on_slow_caller is not None:
            self.on_slow_caller(reason, unread_bytes)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections; open ones continue."""
        if self.listener is not None:
            self.listener.close()

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in tuple(self.connections):
            connection.abort()


@asynccontextmanager
async def listen(
    server: HttpServer,
    host: str,
    port: int,
    tls: ssl.SSLContext | None = None,
    listener: socket.socket | None = None,
) -> AsyncIterator[HttpServer]:
    """Accept connections for *server* until the block ends.

    :param server: the server that handles them; its ``port`` is set.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    :param tls: the context of encrypted connections, or None for plain ones.
    :param listener: a socket that is already listening; by default one is opened.
    """
    loop = asyncio.get_running_loop()

    def accept() -> asyncio.BaseProtocol:
        connection = ServerConnection(server)
        if tls is None:
            return connection
        timeout_s = server.limits.header_timeout_ms / MS_PER_S
        return TlsHandshake(connection, tls, timeout_s)

    asyncio_server = await start_accepting(accept, host, port, listener)
    server.listener = asyncio_server
    server.port = asyncio_server.sockets[0].getsockname()[1]
    sweeper = loop.create_task(_sweep_forever(server))
    try:
        yield server
    finally:
        sweeper.cancel()
        asyncio_server.close()
        server.abort_all()


async def _sweep_forever(server: HttpServer) -> None:
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        server.sweep()
