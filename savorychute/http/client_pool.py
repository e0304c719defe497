"""A pool of client connections that are kept open for reuse."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from savorychute.http.client_call import ClientCall
from savorychute.http.client_connection import ClientConnection
from savorychute.http.connector import DirectConnector
from savorychute.http.file_limit import connection_limit_by_files

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from savorychute.clock import Clock
    from savorychute.http.connector import Connector
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.response_handler import ResponseHandler

MS_PER_S = 1_000
# Part of the server's stated keep-alive time during which an idle connection is
# reused.  Near the end of that time, a request could cross the server's close.
KEEP_ALIVE_SHARE = 0.5


class ServerAddress(NamedTuple):
    """IP address and port of a server."""

    host: str
    port: int


class PoolSettings(NamedTuple):
    """Limits of a pool; ``idle_ms`` must be below the servers' own idle timeout."""

    connections: int = 4096
    idle_per_server: int = 16
    idle_ms: int = 10_000
    connect_timeout_ms: int = 1_000


class ClientPool:
    """Sends calls over new and reused connections, up to a maximum number of them.

    :param settings: the limits.
    :param clock: measures how long connections are idle.
    :param connector: opens the connections; direct and plain ones by default.
    """

    def __init__(
        self, settings: PoolSettings, clock: Clock, connector: Connector | None = None
    ) -> None:
        self._settings = settings
        self._max_connections = min(settings.connections, connection_limit_by_files())
        self._clock = clock
        self._connector = connector or DirectConnector()
        self._idle: dict[ServerAddress, list[ClientConnection]] = {}
        self._next_sweep_ms = 0
        self._open: set[ClientConnection] = set()
        self._connecting = 0
        self._preparing: dict[ServerAddress, asyncio.Task[bool]] = {}

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    def submit(
        self,
        address: ServerAddress,
        request: HttpRequest,
        handler: ResponseHandler,
        *,
        fresh: bool = False,
    ) -> ClientCall:
        """Start a call.  No event is delivered before this method has returned.

        The server may close an idle connection at the moment of its reuse; it is
        then unknown whether the request ran.  A call that must avoid this race
        asks for a new connection.

        :param address: the server.
        :param request: the request to send.
        :param handler: the receiver of the call's events.
        :param fresh: whether to open a new connection.
        """
        loop = asyncio.get_running_loop()
        call = ClientCall(request, handler)
        reused = None if fresh else self._acquire_idle(address)
        if reused is not None:
            loop.call_soon(self._start_on_idle, call, address, reused)
        else:
            call.connecting = loop.create_task(self._connect(call, address))
        return call

    def close(self) -> None:
        """Abort all connections."""
        for task in tuple(self._preparing.values()):
            task.cancel()
        for connection in tuple(self._open):
            connection.abort()
        self._idle.clear()

    def prepare(
        self, address: ServerAddress, on_failure: Callable[[], None] | None = None
    ) -> None:
        """Open a connection for later calls, unless one is being opened already.

        :param address: the server.
        :param on_failure: called if the connection cannot be opened.
        """
        preparing = self._preparing.get(address)
        if preparing is None:
            if not self._ensure_capacity():
                return
            preparing = asyncio.get_running_loop().create_task(self._prepare(address))
            self._preparing[address] = preparing
            preparing.add_done_callback(lambda _: self._preparing.pop(address, None))
        if on_failure is not None:
            preparing.add_done_callback(lambda task: _is_prepared(task) or on_failure())

    async def _prepare(self, address: ServerAddress) -> bool:
        """Open a connection; return whether that succeeded."""
        self._connecting += 1
        try:
            connection = await self._open_connection(address)
        except (OSError, TimeoutError):
            return False  # The next call reports the failure.
        finally:
            self._connecting -= 1
        self._store_idle(address, connection)
        return True

    def close_unusable(self) -> None:
        """Close idle connections whose path should not be used any more."""
        for address in tuple(self._idle):
            unusable = [each for each in self._idle[address] if not each.usable]
            for connection in unusable:
                self._remove(address, connection)
                connection.abort()

    def _start_on_idle(
        self, call: ClientCall, address: ServerAddress, reused: ClientConnection
    ) -> None:
        if call.cancelled:
            self._store_idle(address, reused)
        elif not reused.usable:
            loop = asyncio.get_running_loop()
            call.connecting = loop.create_task(self._connect(call, address))
        elif not call.start(reused):
            self._store_idle(address, reused)

    async def _connect(self, call: ClientCall, address: ServerAddress) -> None:
        if not self._ensure_capacity():
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
        elif not call.start(connection):
            self._store_idle(address, connection)

    async def _open_connection(self, address: ServerAddress) -> ClientConnection:
        def make_connection() -> ClientConnection:
            return ClientConnection(
                f'{address.host}:{address.port}',
                on_idle=lambda idle: self._store_idle(address, idle),
                on_lost=lambda lost: self._remove(address, lost),
            )

        async with asyncio.timeout(self._settings.connect_timeout_ms / MS_PER_S):
            connection = await self._connector.open(address, make_connection)
        self._open.add(connection)
        return connection

    def _ensure_capacity(self) -> bool:
        """Close idle connections while the limit is reached; return whether one fits.

        Otherwise idle connections to servers that are no longer used would block
        calls to servers that are.
        """
        while self._idle and self.open_connections >= self._max_connections:
            self._close_oldest(next(iter(self._idle)))
        return self.open_connections < self._max_connections

    def _close_expired(self, before_ms: int) -> None:
        """Close the connections that became idle before *before_ms*."""
        for address in tuple(self._idle):
            while address in self._idle:
                if self._idle[address][0].idle_since_ms >= before_ms:
                    break
                self._close_oldest(address)

    def _close_oldest(self, address: ServerAddress) -> None:
        connection = self._idle[address][0]
        self._remove(address, connection)
        connection.abort()

    def _remove(self, address: ServerAddress, connection: ClientConnection) -> None:
        self._open.discard(connection)
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(address, None)

    def _store_idle(self, address: ServerAddress, connection: ClientConnection) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + self._settings.idle_ms
            self._close_expired(now_ms - self._settings.idle_ms)
        idle_count = len(self._idle.get(address, ()))
        if idle_count >= self._settings.idle_per_server or not connection.usable:
            connection.abort()
            return
        connection.idle_since_ms = now_ms
        self._idle.setdefault(address, []).append(connection)

    def _acquire_idle(self, address: ServerAddress) -> ClientConnection | None:
        while address in self._idle:
            idle = self._idle[address]
            connection = idle.pop()
            if not idle:
                del self._idle[address]
            if connection.usable and self._is_reusable(connection):
                return connection
            connection.abort()
        return None

    def _is_reusable(self, connection: ClientConnection) -> bool:
        """Return whether the server is expected to keep the connection open."""
        max_idle_ms = self._settings.idle_ms
        if connection.keep_alive_ms is not None:
            max_idle_ms = min(
                max_idle_ms, int(KEEP_ALIVE_SHARE * connection.keep_alive_ms)
            )
        return self._clock.now_ms() - connection.idle_since_ms <= max_idle_ms


def _is_prepared(task: asyncio.Task[bool]) -> bool:
    """Return whether a connection was opened, or nobody waits for it any more."""
    return task.cancelled() or (task.exception() is None and task.result())


@contextmanager
def open_pool(
    settings: PoolSettings, clock: Clock, connector: Connector | None = None
) -> Iterator[ClientPool]:
    """Yield a pool and abort its connections when the block ends.

    :param settings: the limits.
    :param clock: measures how long connections are idle.
    :param connector: opens the connections; direct and plain ones by default.
    """
    pool = ClientPool(settings, clock, connector)
    try:
        yield pool
    finally:
        pool.close()
