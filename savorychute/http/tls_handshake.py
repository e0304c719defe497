"""TLS handshakes of accepted connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    import ssl

    from savorychute.http.server_connection import ServerConnection


class TlsHandshake(asyncio.Protocol):
    """Accepts a connection, which takes its place before it is encrypted.

    The event loop's own TLS servers report a connection when its handshake has ended,
    so that callers that never end it would take all descriptors.

    :param connection: handles the connection once it is encrypted.
    :param context: the context of the connection.
    :param timeout_s: time limit for the handshake.
    """

    def __init__(
        self, connection: ServerConnection, context: ssl.SSLContext, timeout_s: float
    ) -> None:
        self._connection = connection
        self._context = context
        self._timeout_s = timeout_s
        # The event loop itself refers to tasks only weakly.
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place and start the handshake."""
        plain = cast('asyncio.Transport', transport)
        # What arrives belongs to the handshake, which starts a moment later.
        plain.pause_reading()
        self._connection.take_place(plain)
        self._task = asyncio.get_running_loop().create_task(self._encrypt(plain))

    async def _encrypt(self, plain: asyncio.Transport) -> None:
        early = _EarlyBytes()
        transport = None
        try:
            if not plain.is_closing():
                transport = await asyncio.get_running_loop().start_tls(
                    plain,
                    early,
                    self._context,
                    server_side=True,
                    ssl_handshake_timeout=self._timeout_s,
                )
        except OSError:
            # The caller left, sent something else, or was too slow.
            transport = None
        if transport is None:
            self._connection.connection_lost(None)
            return
        transport.set_protocol(self._connection)
        self._connection.connection_made(transport)
        if early.data:
            self._connection.data_received(bytes(early.data))


class _EarlyBytes(asyncio.Protocol):
    """Keeps what arrives at the end of a handshake, before the connection is told."""

    def __init__(self) -> None:
        self.data = bytearray()

    def data_received(self, data: bytes) -> None:
        self.data += data
