"""A listening HTTP server."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.http.file_bound import connections_by_files
from savorychute.http.server_connection import ServerConnection

if TYPE_CHECKING:
    import socket
    import ssl
    from collections.abc import AsyncIterator, Callable

    from savorychute.clock import Clock
    from savorychute.http.http_limits import HttpLimits
    from savorychute.http.server_exchange import ServerExchange

MS_PER_S = 1_000
SWEEP_S = 0.25
LISTEN_BACKLOG = 512


class HttpServer:
    """Connections, their bounds, and the caller of each request.

    :param limits: bounds towards callers.
    :param clock: the time for deadlines.
    :param on_request: called with each whole request; must not block.
    """

    def __init__(
        self,
        limits: HttpLimits,
        clock: Clock,
        on_request: Callable[[ServerExchange], None],
    ) -> None:
        self.limits = limits
        self.on_request = on_request
        self.now_ms = clock.now_ms
        self.closing = False
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.connections: set[ServerConnection] = set()
        self._bound = min(limits.connections, connections_by_files())
        self.buffered_bytes = 0

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self.connections)

    @property
    def unread_bytes(self) -> int:
        """How much of all answers waits for callers to read."""
        return sum(connection.unread_bytes for connection in self.connections)

    def add(self, connection: ServerConnection) -> bool:
        """Take a connection; return false if there are too many.

        :param connection: the one that was accepted.
        """
        self.connections.add(connection)
        return len(self.connections) <= self._bound

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that was lost.

        :param connection: the one that was lost.
        """
        self.connections.discard(connection)

    def reserve(self, size_bytes: int) -> bool:
        """Count bytes of a body; return false if all bodies are too large.

        :param size_bytes: how many more.
        """
        if self.buffered_bytes + size_bytes > self.limits.buffered_bytes:
            return False
        self.buffered_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give back reserved bytes.

        :param size_bytes: how many fewer.
        """
        self.buffered_bytes -= size_bytes

    def sweep(self) -> None:
        """Give up callers that send or read too slowly."""
        now_ms = self.now_ms()
        for connection in tuple(self.connections):
            connection.check_deadline(now_ms)
        self._bound_unread()

    def _bound_unread(self) -> None:
        """Give up the callers with the most unread bytes, if there are too many.

        Each answer is bounded by itself, but a few hundred callers that ask
        for long ones and do not read would together fill the memory.
        """
        slow = [each for each in self.connections if each.writing_paused]
        slow.sort(key=lambda each: each.unread_bytes)
        total_bytes = sum(each.unread_bytes for each in slow)
        while slow and total_bytes > self.limits.unread_bytes:
            connection = slow.pop()
            total_bytes -= connection.unread_bytes
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones go on."""
        if self.listener is not None:
            self.listener.close()

    def abort_all(self) -> None:
        """Cut every connection."""
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

    :param server: who takes them; its ``port`` is set.
    :param host: the IP number to listen on.
    :param port: the port, or 0 for one of the system's choice.
    :param tls: the context of encrypted connections, or none for plain ones.
    :param listener: a socket that listens there already; one is opened if left out.
    """
    loop = asyncio.get_running_loop()
    handshake_s = server.limits.header_timeout_ms / MS_PER_S if tls else None

    def accept() -> ServerConnection:
        return ServerConnection(server)

    if listener is None:
        accepting = await loop.create_server(
            accept,
            host,
            port,
            ssl=tls,
            backlog=LISTEN_BACKLOG,
            ssl_handshake_timeout=handshake_s,
        )
    else:
        accepting = await loop.create_server(
            accept, sock=listener, ssl=tls, ssl_handshake_timeout=handshake_s
        )
    server.listener = accepting
    server.port = accepting.sockets[0].getsockname()[1]
    sweeper = loop.create_task(_sweep_forever(server))
    try:
        yield server
    finally:
        sweeper.cancel()
        accepting.close()
        server.abort_all()


async def _sweep_forever(server: HttpServer) -> None:
    while True:
        await asyncio.sleep(SWEEP_S)
        server.sweep()
