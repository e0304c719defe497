"""Connections to servers, kept for reuse."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from savorychute.http.client_call import ClientCall
from savorychute.http.client_connection import ClientConnection
from savorychute.http.file_bound import connections_by_files

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterator

    from savorychute.clock import Clock
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.response_handler import ResponseHandler

MS_PER_S = 1_000
# Part of the time for which a server says that it keeps idle connections.  At its end
# a request would cross the close.
KEPT_SHARE = 0.5


class ServerAddress(NamedTuple):
    """IP number and port of a server."""

    host: str
    port: int


class PoolSettings(NamedTuple):
    """Bounds of a pool; ``idle_ms`` must be below the servers' own bound."""

    connections: int = 4096
    idle_per_server: int = 16
    idle_ms: int = 10_000
    connect_timeout_ms: int = 1_000


class ClientPool:
    """Sends calls over fresh and kept connections, at most a bound of them.

    :param settings: the bounds.
    :param clock: the time for idle connections.
    :param tls: the context of encrypted connections, or none for plain ones.
    """

    def __init__(
        self, settings: PoolSettings, clock: Clock, tls: ssl.SSLContext | None = None
    ) -> None:
        self._settings = settings
        self._bound = min(settings.connections, connections_by_files())
        self._clock = clock
        self._tls = tls
        self._idle: dict[ServerAddress, list[ClientConnection]] = {}
        self._sweep_ms = 0
        self._open: set[ClientConnection] = set()
        self._connecting = 0

    @property
    def open_connections(self) -> int:
        """How many connections are open or being opened."""
        return len(self._open) + self._connecting

    def submit(
        self,
        address: ServerAddress,
        request: HttpRequest,
        handler: ResponseHandler,
        *,
        fresh: bool = False,
    ) -> ClientCall:
        """Start a call.  No event comes before this method has returned.

        A kept connection may be closed by the server at the very moment of
        its reuse; then nobody can tell whether the request ran.  A call that
        must not run into that asks for a fresh one.

        :param address: the server.
        :param request: what to send.
        :param handler: who gets the events.
        :param fresh: take no kept connection.
        """
        loop = asyncio.get_running_loop()
        call = ClientCall(request, handler)
        kept = None if fresh else self._take_idle(address)
        if kept is not None:
            loop.call_soon(self._begin_kept, call, address, kept)
        else:
            call.connecting = loop.create_task(self._connect(call, address))
        return call

    def close(self) -> None:
        """Cut every connection."""
        for connection in tuple(self._open):
            connection.abort()
        self._idle.clear()

    def _begin_kept(
        self, call: ClientCall, address: ServerAddress, kept: ClientConnection
    ) -> None:
        if call.cancelled:
            self._keep(address, kept)
        elif not kept.usable:
            loop = asyncio.get_running_loop()
            call.connecting = loop.create_task(self._connect(call, address))
        elif not call.begin(kept):
            self._keep(address, kept)

    async def _connect(self, call: ClientCall, address: ServerAddress) -> None:
        if not self._make_room():
            call.fail_unsent('too many connections')
            return
        self._connecting += 1
        try:
            connection = await self._open_connection(address)
        except (OSError, TimeoutError) as error:
            call.fail_unsent(f'connect failed: {error or type(error).__name__}')
            return
        finally:
            self._connecting -= 1
        call.connecting = None
        if not connection.usable:
            call.fail_unsent('connection closed before the request')
        elif not call.begin(connection):
            self._keep(address, connection)

    async def _open_connection(self, address: ServerAddress) -> ClientConnection:
        loop = asyncio.get_running_loop()
        connection = ClientConnection(
            f'{address.host}:{address.port}',
            on_idle=lambda idle: self._keep(address, idle),
            on_lost=lambda lost: self._forget(address, lost),
        )
        async with asyncio.timeout(self._settings.connect_timeout_ms / MS_PER_S):
            await loop.create_connection(
                lambda: connection, address.host, address.port, ssl=self._tls
            )
        self._open.add(connection)
        return connection

    def _make_room(self) -> bool:
        """Close an idle connection if there are as many as permitted.

        Otherwise idle connections to servers that are no longer used would
        keep out the calls to those that are.
        """
        while self._idle and self.open_connections >= self._bound:
            self._close_oldest(next(iter(self._idle)))
        return self.open_connections < self._bound

    def _drop_idle(self, before_ms: int) -> None:
        """Close the connections that have been idle since before a time."""
        for address in tuple(self._idle):
            while address in self._idle:
                if self._idle[address][0].idle_since_ms >= before_ms:
                    break
                self._close_oldest(address)

    def _close_oldest(self, address: ServerAddress) -> None:
        connection = self._idle[address][0]
        self._forget(address, connection)
        connection.abort()

    def _forget(self, address: ServerAddress, connection: ClientConnection) -> None:
        self._open.discard(connection)
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(address, None)

    def _keep(self, address: ServerAddress, connection: ClientConnection) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._sweep_ms:
            self._sweep_ms = now_ms + self._settings.idle_ms
            self._drop_idle(now_ms - self._settings.idle_ms)
        kept = len(self._idle.get(address, ()))
        if kept >= self._settings.idle_per_server or not connection.usable:
            connection.abort()
            return
        connection.idle_since_ms = now_ms
        self._idle.setdefault(address, []).append(connection)

    def _take_idle(self, address: ServerAddress) -> ClientConnection | None:
        while address in self._idle:
            idle = self._idle[address]
            connection = idle.pop()
            if not idle:
                del self._idle[address]
            if connection.usable and self._is_fresh(connection):
                return connection
            connection.abort()
        return None

    def _is_fresh(self, connection: ClientConnection) -> bool:
        """Return whether the server still keeps an idle connection for a while."""
        bound_ms = self._settings.idle_ms
        if connection.kept_ms is not None:
            bound_ms = min(bound_ms, int(KEPT_SHARE * connection.kept_ms))
        return self._clock.now_ms() - connection.idle_since_ms <= bound_ms


@contextmanager
def open_pool(
    settings: PoolSettings, clock: Clock, tls: ssl.SSLContext | None = None
) -> Iterator[ClientPool]:
    """Give a pool and cut its connections when the block ends.

    :param settings: the bounds.
    :param clock: the time for idle connections.
    :param tls: the context of encrypted connections, or none for plain ones.
    """
    pool = ClientPool(settings, clock, tls)
    try:
        yield pool
    finally:
        pool.close()
