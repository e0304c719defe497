"""Why a tunnel ended."""

from __future__ import annotations

from enum import Enum


class TunnelEnd(Enum):
    """Who ended a tunnel, as its relay sees it.

    ``REQUESTER_GONE``: the requester is no live member any more.  ``RELAY_STOPPING``: the
    relay ends while the tunnel is open.
    """

    ENDPOINT_CLOSED = 'endpoint-closed'
    ENDPOINT_LOST = 'endpoint-lost'
    REQUESTER_CLOSED = 'requester-closed'
    REQUESTER_GONE = 'requester-gone'
    RELAY_STOPPING = 'relay-stopping'


# How tunnels end while nothing fails.
USUAL_ENDS = frozenset({TunnelEnd.ENDPOINT_CLOSED, TunnelEnd.REQUESTER_CLOSED})
