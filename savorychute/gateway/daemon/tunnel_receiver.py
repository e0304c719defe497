"""Receives the bytes of a tunnel for a connection to an endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from savorychute.gateway.paths.tunnel_error import TunnelError
from savorychute.gateway.paths.tunnel_frames import FrameReader

if TYPE_CHECKING:
    from savorychute.http.client_connection import ClientConnection


class TunnelReceiver(asyncio.BufferedProtocol):
    """Passes bytes on, and an end only if the relay has marked it as the endpoint's.

    Without a mark, a response that only ends with its connection is incomplete: the
    relay may have been killed.  Relays of older builds send no marks.

    :param connection: the connection to the endpoint.
    :param has_frames: whether the relay sends frames.
    """

    def __init__(self, connection: ClientConnection, *, has_frames: bool) -> None:
        self._connection = connection
        self._frames = FrameReader() if has_frames else None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and pass it on."""
        self._transport = cast('asyncio.Transport', transport)
        self._connection.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are received."""
        return self._connection.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes of the endpoint that were received."""
        if self._frames is None:
            self._connection.buffer_updated(nbytes)
            return
        received = self._connection.get_buffer(nbytes)[:nbytes]
        data = self._frames.feed(bytes(received))
        if data:
            self._connection.data_received(data)
        if self._frames.ended:
            self._connection.eof_received()
            cast('asyncio.Transport', self._transport).close()

    def eof_received(self) -> bool:
        """Close the connection; this is the end of the relay."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        is_marked = self._frames is not None and self._frames.ended
        if exc is None and not is_marked:
            exc = TunnelError('relay closed the tunnel')
        self._connection.connection_lost(exc)

    def pause_writing(self) -> None:
        """Stop sending, because the relay reads slowly."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Go on sending."""
        self._connection.resume_writing()
