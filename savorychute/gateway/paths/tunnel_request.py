"""A signed request for a tunnel."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(97)
class TunnelRequest(NamedTuple):
    """Ask another instance for a connection to an endpoint.

    It is sent over TCP, as the credentials of an HTTP ``CONNECT`` request.
    """

    host: str
    port: int
