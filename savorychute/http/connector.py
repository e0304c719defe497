"""How a pool opens its connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from savorychute.http.client_connection import ClientConnection
    from savorychute.http.client_pool import ServerAddress


class ConnectionPath(Protocol):
    """The way that a connection takes to its server.

    ``via`` names the instance through which it passes, empty for a direct connection.
    """

    via: str

    @property
    def usable(self) -> bool:
        """Whether further calls should use the connection."""
        ...

    @property
    def lost(self) -> bool:
        """Whether a call in progress can expect no more bytes."""
        ...


class Connector(Protocol):
    """Opens connections."""

    async def open(
        self, address: ServerAddress, make_connection: Callable[[], ClientConnection]
    ) -> ClientConnection:
        """Return an open connection.

        :param address: the server.
        :param make_connection: makes the protocol of each connection that is tried.
        :raises OSError: if the server cannot be reached.
        """
        ...


class DirectConnector:
    """Connects to servers without an intermediary.

    :param tls: the context of encrypted connections, or None for plain ones.
    """

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls

    async def open(
        self, address: ServerAddress, make_connection: Callable[[], ClientConnection]
    ) -> ClientConnection:
        """Return an open connection."""
        _, connection = await asyncio.get_running_loop().create_connection(
            make_connection, address.host, address.port, ssl=self._tls
        )
        return connection
