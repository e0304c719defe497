"""A pool of client connections that are kept open for reuse."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from savorychute.http.client_call import ClientCall
from savorychute.http.client_connection import ClientConnection, loop_ms
from savorychute.http.connector import DirectConnector
from savorychute.http.file_limit import connection_limit_by_files
from savorychute.http.receive_pace import ReceivePace

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from savorychute.clock import Clock
    from savorychute.http.connector import Connector
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.response_handler import ResponseHandler

MS_PER_S = 1_000
# Part of the server's stated keep-alive time during which an idle connection is reused,
# and the least time that is left then.  Near the end, a request could cross the server's
# close; requests take a few ms to arrive, and a busy instance sends them somewhat late.
KEEP_ALIVE_SHARE = 0.9
KEEP_ALIVE_MARGIN_MS = 500
# The same for a call that must not be lost: the share, and the longest time.  Some
# servers forget idle connections after 300 ms, whatever they state; the rest of that
# time is for the way of the request.
RECENT_SHARE = 0.05
MAX_RECENT_MS = 100
# How often expired idle connections are closed.  A server counts them towards its limit,
# and resets further connections beyond it.
SWEEP_INTERVAL_MS = 1_000


class ServerAddress(NamedTuple):
    """IP address and port of a server."""

    host: str
    port: int


class PoolSettings(NamedTuple):
    """Limits of a pool; ``idle_ms`` must be below the servers' own idle timeout.

    A server that states a keep-alive time gets a shorter timeout than ``idle_ms``.
    ``response_bytes`` is the size of the largest accepted response, None for any.
    """

    connections: int = 4096
    idle_per_server: int = 16
    idle_ms: int = 10_000
    connect_timeout_ms: int = 1_000
    response_bytes: int | None = None


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
        # How many idle connections to one server are kept; may change at any time.
        self.idle_per_server = settings.idle_per_server
        # The same for the size of the largest response, on connections opened later.
        self.response_bytes = settings.response_bytes
        self._max_connections = min(settings.connections, connection_limit_by_files())
        self._clock = clock
        self._connector = connector or DirectConnector()
        self._pace = ReceivePace(loop_ms)
        self._idle: dict[ServerAddress, list[ClientConnection]] = {}
        self._next_sweep_ms = 0
        self._open: dict[ClientConnection, ServerAddress] = {}
        self._connecting = 0
        self._numbers = itertools.count(1)
        self._preparing: dict[ServerAddress, asyncio.Task[bool]] = {}
        # The keep-alive time that a server stated last, also for connections that were
        # opened ahead and have carried no response.
        self._stated_ms: int | None = None
        # Number of calls that needed no new connection.
        self.reuses = 0

    @property
    def idle_connections(self) -> int:
        """Number of connections that carry no call."""
        return sum(map(len, self._idle.values()))

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
        unused: bool = False,
    ) -> ClientCall:
        """Start a call.  No event is delivered before this method has returned.

        The server may close an idle connection at the moment of its reuse; it is
        then unknown whether the request ran.  A call that must avoid this race asks
        for a fresh connection: a new one, or one that was in use a moment ago and whose
        server states that it keeps idle connections for much longer.

        :param address: the server.
        :param request: the request to send.
        :param handler: the receiver of the call's events.
        :param fresh: whether only a fresh connection may be used.
        :param unused: whether only a new connection may be used, on which no earlier
            response can be late.
        """
        loop = asyncio.get_running_loop()
        call = ClientCall(request, handler)
        reused = None if unused else self._acquire_idle(address, fresh=fresh)
        if reused is not None:
            loop.call_soon(self._start_on_idle, call, address, reused, fresh)
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

    def retire(self, address: ServerAddress) -> None:
        """Use no open connection to an address any more once its call has ended.

        A connection to a server that lost power stays open, while a new one starts at
        its address.

        :param address: the server.
        """
        for connection, connected_to in tuple(self._open.items()):
            if connected_to == address:
                connection.retired = True
        self.close_unusable()

    def close_unusable(self) -> None:
        """Close idle connections whose path should not be used any more."""
        for address in tuple(self._idle):
            unusable = [each for each in self._idle[address] if not each.usable]
            for connection in unusable:
                self._remove(address, connection)
                connection.abort()

    def _start_on_idle(
        self,
        call: ClientCall,
        address: ServerAddress,
        reused: ClientConnection,
        fresh: bool,
    ) -> None:
        """Start a call on a connection, which the server may have closed meanwhile."""
        if call.cancelled:
            self._return_idle(address, reused)
        elif reused.has_input or not self._is_reusable(reused, fresh=fresh):
            self._return_idle(address, reused)
            loop = asyncio.get_running_loop()
            call.connecting = loop.create_task(self._connect(call, address))
        elif call.start(reused):
            self.reuses += 1
        else:
            self._return_idle(address, reused)

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
                max_response_bytes=self.response_bytes,
                pace=self._pace,
                number=next(self._numbers),
            )

        async with asyncio.timeout(self._settings.connect_timeout_ms / MS_PER_S):
            connection = await self._connector.open(address, make_connection)
        self._open[connection] = address
        return connection

    def _ensure_capacity(self) -> bool:
        """Close idle connections while the limit is reached; return whether one fits.

        Otherwise idle connections to servers that are no longer used would block
        calls to servers that are.
        """
        while self._idle and self.open_connections >= self._max_connections:
            self._close_oldest(next(iter(self._idle)))
        return self.open_connections < self._max_connections

    def _close_expired(self) -> None:
        """Close the idle connections that no call may use any more."""
        for address in tuple(self._idle):
            for connection in tuple(self._idle[address]):
                if not self._is_reusable(connection, fresh=False):
                    self._remove(address, connection)
                    connection.abort()

    def _close_oldest(self, address: ServerAddress) -> None:
        connection = self._idle[address][0]
        self._remove(address, connection)
        connection.abort()

    def _remove(self, address: ServerAddress, connection: ClientConnection) -> None:
        self._open.pop(connection, None)
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(address, None)

    def _store_idle(self, address: ServerAddress, connection: ClientConnection) -> None:
        """Keep a connection that has been opened, or whose call has ended."""
        connection.idle_since_ms = self._clock.now_ms()
        if connection.keep_alive_ms is not None:
            self._stated_ms = connection.keep_alive_ms
        self._return_idle(address, connection)

    def _return_idle(
        self, address: ServerAddress, connection: ClientConnection
    ) -> None:
        """Keep a connection that may have been idle for some time already."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + min(
                SWEEP_INTERVAL_MS, self._settings.idle_ms
            )
            self._close_expired()
        if not connection.usable:
            connection.abort()
            return
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        idle.sort(key=lambda each: each.idle_since_ms)
        while len(idle) > self.idle_per_server:
            self._close_oldest(address)

    def _acquire_idle(
        self, address: ServerAddress, *, fresh: bool
    ) -> ClientConnection | None:
        """Return the idle connection that was used last, if it may be used."""
        while address in self._idle:
            idle = self._idle[address]
            connection = idle[-1]
            if self._is_reusable(connection, fresh=fresh):
                idle.pop()
                if not idle:
                    del self._idle[address]
                return connection
            if fresh and self._is_reusable(connection, fresh=False):
                # The others have been idle for longer.
                return None
            self._remove(address, connection)
            connection.abort()
        return None

    def _is_reusable(self, connection: ClientConnection, *, fresh: bool) -> bool:
        """Return whether the server is expected to keep the connection open."""
        if not connection.usable:
            return False
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        keep_alive_ms = connection.keep_alive_ms
        if fresh:
            return idle_ms < min(MAX_RECENT_MS, RECENT_SHARE * (keep_alive_ms or 0))
        max_idle_ms = self._settings.idle_ms
        if keep_alive_ms is None:
            keep_alive_ms = self._stated_ms
        if keep_alive_ms is not None:
            max_idle_ms = min(
                max_idle_ms,
                int(KEEP_ALIVE_SHARE * keep_alive_ms),
                keep_alive_ms - KEEP_ALIVE_MARGIN_MS,
            )
        return idle_ms <= max_idle_ms


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
