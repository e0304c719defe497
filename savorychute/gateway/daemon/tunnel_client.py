"""Opens a connection to an endpoint through another instance."""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, cast

import h11

from savorychute.gateway.daemon.tunnel_receiver import TunnelReceiver
from savorychute.gateway.paths.tunnel_error import (
    EndpointUnreachableError,
    TunnelError,
    TunnelRefusedError,
)
from savorychute.gateway.paths.tunnel_frames import FRAMES_HEADER, FRAMES_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.paths.relay_table import Relay
    from savorychute.http.client_connection import ClientConnection
    from savorychute.http.client_pool import ServerAddress

# Scheme of the credentials: a signed message between instances, in base64.
AUTHENTICATION_SCHEME = 'Savorychute'
STATUS_OK = 200
STATUS_UNREACHABLE = 502


class _Handshake(asyncio.Protocol):
    """Sends the request for a tunnel and waits for the response."""

    def __init__(self, target: bytes, credentials: bytes) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._target = target
        self._credentials = credentials
        self._transport: asyncio.Transport | None = None
        # The status of the response, and whether the relay will send frames.
        self.done: asyncio.Future[tuple[int, bool]] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        request = h11.Request(
            method='CONNECT',
            target=self._target,
            headers=[
                (b'host', self._target),
                (b'proxy-authorization', self._credentials),
                (FRAMES_HEADER, FRAMES_VERSION),
            ],
        )
        data = self._http.send(request) or b''
        data += self._http.send(h11.EndOfMessage()) or b''
        self._transport = cast('asyncio.Transport', transport)
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Process the response; bytes after it belong to no request."""
        if self.done.done():
            self._abort()
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._fail(f'malformed response to a request for a tunnel: {error}')
            return
        if not isinstance(event, h11.Response):
            return
        if event.status_code == STATUS_OK and self._http.trailing_data[0]:
            self._fail('bytes of no request follow the response')
            return
        self.done.set_result((event.status_code, sends_frames(event)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the handshake if it is not complete."""
        self._fail(f'relay closed the connection: {exc or "end of stream"}')

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, message: str) -> None:
        if not self.done.done():
            self.done.set_exception(TunnelError(message))
            # Nobody waits for it if the request was cancelled meanwhile.
            self.done.exception()


def sends_frames(message: h11.Request | h11.Response) -> bool:
    """Return whether the sender of a message knows the frames of tunnels.

    :param message: a request for a tunnel, or its response.
    """
    headers = dict(message.headers)
    return headers.get(FRAMES_HEADER) == FRAMES_VERSION


async def open_tunnel(
    relay: Relay,
    address: ServerAddress,
    frame: bytes,
    make_connection: Callable[[], ClientConnection],
) -> ClientConnection:
    """Return a connection to an endpoint through another instance.

    :param relay: the instance.
    :param address: the endpoint.
    :param frame: the signed request for the tunnel.
    :param make_connection: makes the protocol of the connection.
    :raises EndpointUnreachableError: if the relay does not reach the endpoint.
    :raises TunnelRefusedError: if the relay opens no tunnel to the endpoint.
    :raises OSError: if the relay cannot be reached.
    """
    target = f'{address.host}:{address.port}'.encode()
    credentials = f'{AUTHENTICATION_SCHEME} {base64.b64encode(frame).decode()}'
    transport, handshake = await asyncio.get_running_loop().create_connection(
        lambda: _Handshake(target, credentials.encode()),
        relay.address.host,
        relay.tunnel_port,
    )
    try:
        status, has_frames = await handshake.done
        _check_status(status)
    except BaseException:
        transport.abort()
        raise
    connection = make_connection()
    receiver = TunnelReceiver(connection, has_frames=has_frames)
    transport.set_protocol(receiver)
    receiver.connection_made(transport)
    return connection


def _check_status(status: int) -> None:
    if status == STATUS_UNREACHABLE:
        raise EndpointUnreachableError('relay did not reach the endpoint')
    if status != STATUS_OK:
        raise TunnelRefusedError(f'relay refused a tunnel with status {status}')
