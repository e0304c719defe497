"""A connection of another instance that leads to an endpoint."""

from __future__ import annotations

import asyncio
import base64
import binascii
from typing import TYPE_CHECKING

import h11

from savorychute.clock import MS_PER_S
from savorychute.errors import MessageError, SignatureError
from savorychute.gateway.daemon.tunnel_client import (
    AUTHENTICATION_SCHEME,
    STATUS_OK,
    STATUS_UNREACHABLE,
    sends_frames,
)
from savorychute.gateway.daemon.tunnel_side import TunnelSide
from savorychute.gateway.paths.tunnel_end import TunnelEnd
from savorychute.gateway.paths.tunnel_frames import (
    END_FRAME,
    FRAMES_HEADER,
    FRAMES_VERSION,
    encode_frame,
)
from savorychute.http.budget_share import BudgetShare, ConnectionState
from savorychute.http.client_pool import ServerAddress

if TYPE_CHECKING:
    from savorychute.gateway.daemon.tunnel_server import TunnelServer
    from savorychute.http.slow_caller import SlowCallerReason
    from savorychute.result_code import ResultCode

STATUS_BAD_REQUEST = 400
STATUS_FORBIDDEN = 403
STATUS_UNAVAILABLE = 503
MAX_HEAD_BYTES = 8 * 1024
# Shorter than the time that the requesting instance waits for the tunnel.
CONNECT_TIMEOUT_MS = 150


class TunnelConnection(TunnelSide):
    """Reads the request for a tunnel, and then passes bytes both ways.

    :param server: the server that accepted the connection.
    """

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self.share = BudgetShare(server.budget, self)
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._connecting: asyncio.Task[None] | None = None
        self.requester = ''
        self.address: ServerAddress | None = None
        # Whether the requester reads frames; older builds do not.
        self.has_frames = False
        # Why the tunnel ends, once that is known.
        self.end: TunnelEnd | None = None
        self.accepted_ms = server.now_ms()

    @property
    def is_tunnel(self) -> bool:
        """Whether the tunnel is open."""
        return self.other is not None

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        super().connection_made(transport)
        if not self._server.add(self):
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, or read the request for the tunnel."""
        if self.is_tunnel:
            super().data_received(data)
            return
        if self._connecting is not None:
            # The requester sends nothing before the response.
            self.abort()
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            self._refuse(STATUS_BAD_REQUEST)
            return
        if isinstance(event, h11.Request):
            self._handle_request(event)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Close the connection to the endpoint, so that it stops working."""
        self._server.remove(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self.other is not None:
            self.end = self.end or TunnelEnd.REQUESTER_CLOSED
            self._server.record_ended(self)
            self.other.abort()

    # -- called by the budget

    @property
    def unread_bytes(self) -> int:
        """Nothing: a tunnel reads no more than its other side takes."""
        return 0

    def drain_ms(self, now_ms: int) -> float:  # noqa: ARG002
        """Return 0, as nothing is unread."""
        return 0.0

    def waited_ms(self, now_ms: int) -> int:  # noqa: ARG002
        """Return 0, as nothing is unread."""
        return 0

    def end_slow_caller(self, reason: SlowCallerReason) -> None:  # noqa: ARG002
        """Reset the tunnel."""
        self.reset()

    def close_unused(self) -> None:
        """Abort a connection that has not requested a tunnel."""
        self.abort()

    def refuse_unfinished(self, code: ResultCode) -> None:  # noqa: ARG002
        """Abort a connection that has not requested a tunnel."""
        self.abort()

    # -- opening the tunnel

    def _handle_request(self, request: h11.Request) -> None:
        address = _read_address(request.target)
        if request.method != b'CONNECT' or address is None:
            self._refuse(STATUS_BAD_REQUEST)
            return
        self.share.enter(ConnectionState.BUSY)
        self.address = address
        self.has_frames = sends_frames(request)
        self.requester = self._authenticate(request, address) or ''
        status = self._check(address)
        if status != STATUS_OK:
            self._server.record_refused(self.requester, address, status)
            self._refuse(status)
            return
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(address))

    def _check(self, address: ServerAddress) -> int:
        """Return the status that the request gets if the endpoint can be reached."""
        if not self.requester or not self._server.is_endpoint(address):
            return STATUS_FORBIDDEN
        return STATUS_OK if self._server.accepts(address) else STATUS_UNAVAILABLE

    def _authenticate(self, request: h11.Request, address: ServerAddress) -> str | None:
        headers = dict(request.headers)
        scheme, _, encoded = headers.get(b'proxy-authorization', b'').partition(b' ')
        if scheme != AUTHENTICATION_SCHEME.encode():
            return None
        try:
            frame = base64.b64decode(encoded, validate=True)
            return self._server.authenticate(frame, address)
        except (binascii.Error, MessageError, SignatureError):
            return None  # The refusal is logged without a name.

    async def _connect(self, address: ServerAddress) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
                _, endpoint = await loop.create_connection(
                    lambda: _EndpointSide(self), address.host, address.port
                )
        except (OSError, TimeoutError):
            self._server.record_refused(self.requester, address, STATUS_UNREACHABLE)
            self._refuse(STATUS_UNREACHABLE)
            return
        self._server.record_connected(address)
        if not self.is_open:
            endpoint.abort()
            return
        headers = [(FRAMES_HEADER, FRAMES_VERSION)] if self.has_frames else []
        response = h11.Response(status_code=STATUS_OK, headers=headers)
        self.write(self._http.send(response) or b'')
        self.other = endpoint

    def _refuse(self, status: int) -> None:
        if not self.is_open:
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [('content-length', '0'), ('connection', 'close')]
            response = h11.Response(status_code=status, headers=headers)
            self.write(self._http.send(response) or b'')
            self.write(self._http.send(h11.EndOfMessage()) or b'')
        self.close()


class _EndpointSide(TunnelSide):
    """The connection from this instance to the endpoint."""

    def __init__(self, requester_side: TunnelConnection) -> None:
        super().__init__()
        self._requester_side = requester_side
        self._has_frames = requester_side.has_frames
        self.other: TunnelSide = requester_side

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the requester."""
        self.other.write(encode_frame(data) if self._has_frames else data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the tunnel in the way in which the endpoint closed its connection.

        A response without a length ends with its connection: a reset that arrived as an
        orderly end would make a truncated response look complete.
        """
        ends = self._requester_side.end
        if exc is not None:
            self._requester_side.end = ends or TunnelEnd.ENDPOINT_LOST
            self.other.reset()
        else:
            self._requester_side.end = ends or TunnelEnd.ENDPOINT_CLOSED
            if self._has_frames:
                self.other.write(END_FRAME)
            self.other.close()


def _read_address(target: bytes) -> ServerAddress | None:
    host, _, port = target.decode('latin-1').rpartition(':')
    if not host or not port.isdecimal():
        return None
    return ServerAddress(host, int(port))
