"""Counters of a host's sockets."""

from __future__ import annotations

from typing import NamedTuple


class HostSample(NamedTuple):
    """Totals since the start, and the number of open connections."""

    open_connections: int = 0
    peer_sent_bytes: int = 0
    peer_dropped: int = 0
    peer_rejected: int = 0
