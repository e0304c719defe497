"""Connects to endpoints directly, or through other instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from savorychute.clock import MS_PER_S
from savorychute.errors import MessageError
from savorychute.gateway.daemon.tunnel_client import open_tunnel
from savorychute.gateway.paths.tunnel_error import (
    EndpointUnreachableError,
    TunnelError,
    TunnelRefusedError,
)
from savorychute.gateway.paths.tunnel_request import TunnelRequest
from savorychute.http.connector import DirectConnector

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.clock import Clock
    from savorychute.gateway.paths.path_table import PathTable
    from savorychute.gateway.paths.relay_table import Relay, RelayTable
    from savorychute.http.client_connection import ClientConnection
    from savorychute.http.client_pool import ServerAddress

# How many relays are asked for one connection.
MAX_RELAYS = 3
# How long a relay may take to open a tunnel.
TUNNEL_TIMEOUT_MS = 200


class PathObserver(Protocol):
    """Is notified of the outcomes of connecting."""

    def connected(self, via: str) -> None:
        """Handle an open connection; *via* is empty for a direct one."""
        ...

    def tunnel_failed(self, relay: str, address: ServerAddress, reason: str) -> None:
        """Handle that a relay opened no tunnel."""
        ...


class MessageEncoder(Protocol):
    """Signs a message for another instance."""

    def __call__(self, receiver: str, message: TunnelRequest) -> bytes:
        """Return the signed frame."""
        ...


class DirectPath:
    """The path of a connection from this instance to the endpoint.

    :param paths: the paths of this instance.
    :param address: the endpoint.
    """

    via = ''

    def __init__(self, paths: PathTable, address: ServerAddress) -> None:
        self._paths = paths
        self._address = address

    @property
    def usable(self) -> bool:
        """Whether the endpoint may still be reached on open connections."""
        return not self.lost

    @property
    def lost(self) -> bool:
        """Whether direct connections to the endpoint hang."""
        return self._paths.is_silent(self._address)


class TunnelPath:
    """The path of a connection through another instance.

    :param paths: the paths of this instance.
    :param relays: the instances that offer tunnels.
    :param address: the endpoint.
    :param via: the instance through which the connection passes.
    """

    def __init__(
        self, paths: PathTable, relays: RelayTable, address: ServerAddress, via: str
    ) -> None:
        self._paths = paths
        self._relays = relays
        self._address = address
        self.via = via

    @property
    def usable(self) -> bool:
        """Whether the tunnel is still needed, and its relay goes on offering it."""
        return self._paths.is_lost(self._address) and self._relays.offers(self.via)

    @property
    def lost(self) -> bool:
        """Whether the relay has failed."""
        return not self._relays.is_alive(self.via)


class PathConnector:
    """Opens connections by the path that works.

    While nothing has failed, connections are direct.  If one fails, or is not open after
    a short delay, a tunnel is tried as well, and the first connection is used.  This is
    safe for every request, because none is sent before its connection is open.

    :param paths: the paths of this instance.
    :param relays: the instances that offer tunnels.
    :param clock: monotonic clock.
    :param connect_timeout_ms: timeout of a direct connection, also beside a tunnel.
    """

    def __init__(
        self,
        paths: PathTable,
        relays: RelayTable,
        clock: Clock,
        connect_timeout_ms: int,
    ) -> None:
        self._paths = paths
        self._relays = relays
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._direct = DirectConnector()
        self._late: set[asyncio.Task[ClientConnection]] = set()
        # Signs requests for tunnels; set when this instance has joined the group.
        self.encode: MessageEncoder | None = None
        self.observer: PathObserver | None = None

    async def open(
        self, address: ServerAddress, make_connection: Callable[[], ClientConnection]
    ) -> ClientConnection:
        """Return an open connection.

        :param address: the endpoint.
        :param make_connection: makes the protocol of each connection that is tried.
        :raises OSError: if the endpoint cannot be reached.
        """
        plan = self._paths.plan(address, self._clock.now_ms())
        if plan.tries_direct:
            connection = await self._race(
                address, make_connection, plan.tunnel_delay_ms
            )
        else:
            connection = await self._open_by_tunnel_first(address, make_connection)
        if self.observer is not None:
            self.observer.connected(connection.via)
        return connection

    async def _open_by_tunnel_first(
        self, address: ServerAddress, make_connection: Callable[[], ClientConnection]
    ) -> ClientConnection:
        try:
            return await self._open_tunnel(address, make_connection)
        except OSError:
            return await self._open_direct(address, make_connection)

    async def _race(
        self,
        address: ServerAddress,
        make_connection: Callable[[], ClientConnection],
        tunnel_delay_ms: int,
    ) -> ClientConnection:
        """Return the first connection; a direct one gets a head start."""
        loop = asyncio.get_running_loop()
        direct = loop.create_task(self._open_direct(address, make_connection))
        tunnel: asyncio.Task[ClientConnection] | None = None
        try:
            await asyncio.wait([direct], timeout=tunnel_delay_ms / MS_PER_S)
            if _has_succeeded(direct):
                return direct.result()
            tunnel = loop.create_task(self._open_tunnel(address, make_connection))
            winner = await _first_success(direct, tunnel)
        except BaseException:
            _discard(direct)
            if tunnel is not None:
                _discard(tunnel)
            raise
        if winner is direct:
            _discard(tunnel)
        else:
            self._record_bypassed(address, direct)
        return winner.result()

    def _record_bypassed(
        self, address: ServerAddress, direct: asyncio.Task[ClientConnection]
    ) -> None:
        """Record that a tunnel was faster; a direct connection may still follow.

        One that is only slow shows that the path is not lost.
        """
        now_ms = self._clock.now_ms()
        self._paths.record_bypassed(address, now_ms, hung=not direct.done())
        self._late.add(direct)
        direct.add_done_callback(self._late.discard)
        direct.add_done_callback(_abort_connection)

    async def _open_direct(
        self, address: ServerAddress, make_connection: Callable[[], ClientConnection]
    ) -> ClientConnection:
        async with asyncio.timeout(self._connect_timeout_ms / MS_PER_S):
            connection = await self._direct.open(address, make_connection)
        connection.path = DirectPath(self._paths, address)
        self._paths.record_connected(address, self._clock.now_ms())
        return connection

    async def _open_tunnel(
        self, address: ServerAddress, make_connection: Callable[[], ClientConnection]
    ) -> ClientConnection:
        """Ask one relay after another until one reaches the endpoint."""
        asked: set[str] = set()
        unreached = 0
        while len(asked) < MAX_RELAYS:
            relay = self._relays.choose(address, asked, self._clock.now_ms())
            if relay is None:
                break
            asked.add(relay.address.instance)
            try:
                return await self._open_through(relay, address, make_connection)
            except OSError as error:
                self._record_failure(relay, address, error)
                unreached += isinstance(error, EndpointUnreachableError)
        if asked and unreached == len(asked):
            self._relays.record_unreached(address, self._clock.now_ms())
        raise TunnelError(f'none of {len(asked)} other instances opened a tunnel')

    def _record_failure(
        self, relay: Relay, address: ServerAddress, error: OSError
    ) -> None:
        name, now_ms = relay.address.instance, self._clock.now_ms()
        if isinstance(error, TunnelRefusedError):
            self._relays.record_refusal(name, address, now_ms)
        else:
            self._relays.record_failure(name, now_ms)
        if self.observer is not None:
            reason = str(error) or type(error).__name__
            self.observer.tunnel_failed(name, address, reason)

    async def _open_through(
        self,
        relay: Relay,
        address: ServerAddress,
        make_connection: Callable[[], ClientConnection],
    ) -> ClientConnection:
        if self.encode is None:
            raise TunnelError('this instance has not joined the group yet')
        request = TunnelRequest(address.host, address.port)
        name = relay.address.instance
        try:
            frame = self.encode(name, request)
        except MessageError as error:
            raise TunnelError(error.message) from error
        async with asyncio.timeout(TUNNEL_TIMEOUT_MS / MS_PER_S):
            connection = await open_tunnel(relay, address, frame, make_connection)
        self._relays.record_success(name, address)
        connection.path = TunnelPath(self._paths, self._relays, address, name)
        return connection


async def _first_success(
    direct: asyncio.Task[ClientConnection], tunnel: asyncio.Task[ClientConnection]
) -> asyncio.Task[ClientConnection]:
    """Return the first task that succeeds, or raise the error of the direct one."""
    pending = {direct, tunnel}
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if _has_succeeded(task):
                return task
        if not pending:
            direct.result()


def _has_succeeded(task: asyncio.Task[ClientConnection]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _discard(task: asyncio.Task[ClientConnection]) -> None:
    """Cancel an attempt, and close its connection if it has one already."""
    task.add_done_callback(_abort_connection)
    task.cancel()


def _abort_connection(task: asyncio.Task[ClientConnection]) -> None:
    """Abort the connection of an attempt that is not needed any more."""
    if _has_succeeded(task):
        task.result().abort()
