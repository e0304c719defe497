"""Listening sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Connections that wait in the kernel until they are accepted.
BACKLOG_CONNECTIONS = 512
# Connections that are accepted before any of them can be closed in favour of others;
# each takes a descriptor meanwhile.
ACCEPTS_AT_ONCE = 4


async def start_accepting(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    listener: socket.socket | None = None,
) -> asyncio.Server:
    """Accept connections, a few at once.

    :param make_protocol: returns the protocol of a connection.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    :param listener: a socket that is listening already; by default one is opened.
    :raises OSError: if the port is in use.
    """
    if listener is None:
        listener = _bind(host, port)
    loop = asyncio.get_running_loop()
    # The event loop accepts at once as many as its backlog says.
    server = await loop.create_server(
        make_protocol, sock=listener, backlog=ACCEPTS_AT_ONCE
    )
    listener.listen(BACKLOG_CONNECTIONS)
    return server


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # The event loop sets ``TCP_NODELAY`` only where the protocol is named.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener
