"""Opens connections to endpoints on behalf of other instances."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

from savorychute.clock import MS_PER_S
from savorychute.gateway.daemon.tunnel_connection import TunnelConnection
from savorychute.gateway.paths.tunnel_end import TunnelEnd
from savorychute.gateway.paths.tunnel_offer import TunnelOffer, TunnelState
from savorychute.gateway.paths.tunnel_request import TunnelRequest
from savorychute.http.client_pool import ServerAddress
from savorychute.http.listener import start_accepting

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.clock import Clock
    from savorychute.gateway.paths.path_table import PathTable
    from savorychute.http.connection_budget import ConnectionBudget
    from savorychute.membership.member_view import MemberView
    from savorychute.wire.decoded_message import DecodedMessage

SWEEP_INTERVAL_MS = 500
# A connection that has not completed its request by then is closed.
HANDSHAKE_TIMEOUT_MS = 1_000
# Share of the connections that may be tunnels; callers of this instance go first.
CONNECTIONS_SHARE = 0.25
MAX_TUNNELS = 512
# Connections of other instances that are accepted when callers have all places.
RESERVED_PLACES = 16


class EndpointLookup(Protocol):
    """Knows which addresses belong to endpoints."""

    def accepts_requests_at(self, address: ServerAddress) -> bool:
        """Return whether an endpoint that may get new requests has this address."""
        ...


class TunnelServer:
    """Passes bytes between other instances and endpoints.

    Only members are served, and only endpoints that may get new requests are connected
    to, so that it is no open proxy.  A tunnel never passes through two instances.

    :param endpoints: the endpoints that may get new requests.
    :param paths: the paths of this instance.
    :param clock: monotonic clock.
    :param budget: what all connections of the process may hold together.
    """

    def __init__(
        self,
        endpoints: EndpointLookup,
        paths: PathTable,
        clock: Clock,
        budget: ConnectionBudget,
    ) -> None:
        self._endpoints = endpoints
        self._paths = paths
        self._clock = clock
        self.budget = budget
        self._max_tunnels = min(
            MAX_TUNNELS, int(CONNECTIONS_SHARE * budget.max_connections)
        )
        self._connections: set[TunnelConnection] = set()
        # Verifies a signed message; set when this instance has joined the group.
        self.decode: Callable[[bytes], DecodedMessage] | None = None
        # Called with the requester (empty if unknown), the address and the status.
        self.on_refused: Callable[[str, ServerAddress, int], None] | None = None
        # Called with the requester, the address, the reason and the bytes that it got.
        self.on_ended: Callable[[str, ServerAddress, TunnelEnd, int], None] | None = (
            None
        )
        self.port = 0
        self.leaving = False

    @property
    def open_tunnels(self) -> int:
        """Number of tunnels that are open."""
        return sum(connection.is_tunnel for connection in self._connections)

    def offer(self) -> TunnelOffer:
        """Return what this instance tells others about its tunnels."""
        if self._paths.is_isolated:
            return TunnelOffer(TunnelState.NO_PATH)
        if self.leaving or not self.port:
            return TunnelOffer()
        return TunnelOffer(TunnelState.OFFERED, self.port)

    def accepts(self, address: ServerAddress) -> bool:
        """Return whether a further tunnel may be opened.

        :param address: the endpoint that the tunnel should lead to.
        """
        if self.offer().state is not TunnelState.OFFERED:
            return False
        if self._paths.is_lost(address):
            return False
        return len(self._connections) <= self._max_tunnels

    def is_endpoint(self, address: ServerAddress) -> bool:
        """Return whether a tunnel may lead to an address.

        :param address: the address.
        """
        return self._endpoints.accepts_requests_at(address)

    def authenticate(self, frame: bytes, address: ServerAddress) -> str | None:
        """Return the instance that requested a tunnel, or None for others.

        :param frame: the signed request.
        :param address: the address that the tunnel should lead to.
        :raises MessageError: if the frame holds no message.
        :raises SignatureError: if the frame is not authentic.
        """
        if self.decode is None:
            return None
        decoded = self.decode(frame)
        message = decoded.message
        if not isinstance(message, TunnelRequest):
            return None
        is_same = ServerAddress(message.host, message.port) == address
        return decoded.sender if is_same else None

    def record_connected(self, address: ServerAddress) -> None:
        """Record that this instance reached an endpoint by itself.

        :param address: the endpoint.
        """
        self._paths.record_connected(address, self._clock.now_ms())

    def record_refused(
        self, requester: str, address: ServerAddress, status: int
    ) -> None:
        """Record that a request for a tunnel was refused.

        :param requester: the instance that sent it; empty if it is not authentic.
        :param address: the address that the tunnel should have led to.
        :param status: the status of the response.
        """
        if self.on_refused is not None:
            self.on_refused(requester, address, status)

    def record_ended(self, connection: TunnelConnection) -> None:
        """Record that a tunnel ended.

        :param connection: the requester's connection.
        """
        address, end = connection.address, connection.end
        if self.on_ended is not None and address is not None and end is not None:
            self.on_ended(connection.requester, address, end, connection.passed_bytes)

    def now_ms(self) -> int:
        """Return the current time."""
        return self._clock.now_ms()

    def add(self, connection: TunnelConnection) -> bool:
        """Add an accepted connection; return false if there are too many."""
        self._connections.add(connection)
        return self.budget.admit(connection.share, RESERVED_PLACES)

    def remove(self, connection: TunnelConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self.budget.remove(connection.share)

    def set_view(self, view: MemberView) -> None:
        """Close the tunnels of instances that are gone.

        An instance that lost power closes no connection, and endpoints would go on
        working for its callers.

        :param view: the current members.
        """
        for connection in tuple(self._connections):
            name = connection.requester
            if name and not view.is_alive(name) and name not in view.leaving:
                connection.end = TunnelEnd.REQUESTER_GONE
                connection.reset()

    def sweep(self) -> None:
        """Close connections that have not completed their request in time."""
        before_ms = self._clock.now_ms() - HANDSHAKE_TIMEOUT_MS
        for connection in tuple(self._connections):
            if not connection.is_tunnel and connection.accepted_ms < before_ms:
                connection.abort()

    def abort_all(self) -> None:
        """Reset all connections; an orderly end would be taken for the endpoint's."""
        for connection in tuple(self._connections):
            connection.end = TunnelEnd.RELAY_STOPPING
            connection.reset()


@asynccontextmanager
async def open_tunnel_server(
    server: TunnelServer, host: str, port: int
) -> AsyncIterator[None]:
    """Accept requests for tunnels until the block ends.

    :param server: handles the connections.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    loop = asyncio.get_running_loop()
    listener = await start_accepting(lambda: TunnelConnection(server), host, port)
    server.port = listener.sockets[0].getsockname()[1]
    sweeper = loop.create_task(_sweep_forever(server))
    try:
        yield
    finally:
        server.port = 0
        sweeper.cancel()
        listener.close()
        server.abort_all()


async def _sweep_forever(server: TunnelServer) -> None:
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
        server.sweep()
