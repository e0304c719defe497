"""A connection of another instance that leads to an endpoint."""

from __future__ import annotations

import asyncio
import base64
import binascii
import socket
import struct
from typing import TYPE_CHECKING, cast

import h11

from savorychute.clock import MS_PER_S
from savorychute.errors import MessageError, SignatureError
from savorychute.gateway.daemon.tunnel_client import AUTHENTICATION_SCHEME, STATUS_OK
from savorychute.http.client_pool import ServerAddress

if TYPE_CHECKING:
    from savorychute.gateway.daemon.tunnel_server import TunnelServer

STATUS_BAD_REQUEST = 400
STATUS_FORBIDDEN = 403
STATUS_UNREACHABLE = 502
STATUS_UNAVAILABLE = 503
MAX_HEAD_BYTES = 8 * 1024
# Bytes that are buffered for a side that does not read; then the other is paused.
BUFFER_BYTES = 64 * 1024
# Shorter than the time that the requesting instance waits for the tunnel.
CONNECT_TIMEOUT_MS = 150
# Closes a socket with a reset, and without waiting.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class TunnelConnection(asyncio.Protocol):
    """Reads the request for a tunnel, and then passes bytes both ways.

    :param server: the server that accepted the connection.
    """

    def __init__(self, server: TunnelServer) -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._endpoint: _EndpointSide | None = None
        self.requester = ''
        self.accepted_ms = server.now_ms()

    @property
    def is_tunnel(self) -> bool:
        """Whether the tunnel is open."""
        return self._endpoint is not None

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and limit what is buffered."""
        self._transport = cast('asyncio.Transport', transport)
        self._transport.set_write_buffer_limits(high=BUFFER_BYTES)
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, or read the request for the tunnel."""
        if self._endpoint is not None:
            self._endpoint.write(data)
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

    def pause_writing(self) -> None:
        """Stop reading from the endpoint while the requester does not read."""
        if self._endpoint is not None:
            self._endpoint.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the endpoint."""
        if self._endpoint is not None:
            self._endpoint.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Close the connection to the endpoint, so that it stops working."""
        self._server.remove(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self._endpoint is not None:
            self._endpoint.abort()

    # -- called by the endpoint's side

    def write(self, data: bytes) -> None:
        """Pass bytes of the endpoint on to the requester."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading from the requester while the endpoint does not read."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the requester."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def endpoint_closed(self, exc: Exception | None) -> None:
        """Close the tunnel in the way in which the endpoint closed its connection.

        A response without a length ends with its connection: a reset that arrived as an
        orderly end would make a truncated response look complete.
        """
        if exc is not None:
            self.reset()
        elif self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is not None:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    # -- opening the tunnel

    def _handle_request(self, request: h11.Request) -> None:
        address = _read_address(request.target)
        if request.method != b'CONNECT' or address is None:
            self._refuse(STATUS_BAD_REQUEST)
            return
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
            return None

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
        if self._transport is None or self._transport.is_closing():
            endpoint.abort()
            return
        self._transport.write(
            self._http.send(h11.Response(status_code=STATUS_OK, headers=[])) or b''
        )
        self._endpoint = endpoint

    def _refuse(self, status: int) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [('content-length', '0'), ('connection', 'close')]
            response = h11.Response(status_code=status, headers=headers)
            data = self._http.send(response) or b''
            data += self._http.send(h11.EndOfMessage()) or b''
            self._transport.write(data)
        self._transport.close()


class _EndpointSide(asyncio.Protocol):
    """The connection from this instance to the endpoint."""

    def __init__(self, tunnel: TunnelConnection) -> None:
        self._tunnel = tunnel
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast('asyncio.Transport', transport)
        self._transport.set_write_buffer_limits(high=BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        self._tunnel.write(data)

    def pause_writing(self) -> None:
        self._tunnel.pause_reading()

    def resume_writing(self) -> None:
        self._tunnel.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._tunnel.endpoint_closed(exc)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _read_address(target: bytes) -> ServerAddress | None:
    host, _, port = target.decode('latin-1').rpartition(':')
    if not host or not port.isdecimal():
        return None
    return ServerAddress(host, int(port))
