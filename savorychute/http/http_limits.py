"""Bounds of an HTTP server."""

from __future__ import annotations

from typing import NamedTuple


class HttpLimits(NamedTuple):
    """What a server takes from its callers before it refuses them.

    ``buffered_bytes`` bounds the bodies that all connections together hold.
    ``pipelined_bytes`` is read ahead of the request that is being answered;
    after that the connection is not read until the answer is out.
    ``unread_bytes`` bounds the answers that callers have not read yet, over all
    connections; beyond it those with the most are given up.
    ``stalled_ms`` is how long an answer may wait for a caller that does not
    read.  ``write_buffer_bytes`` is where back-pressure begins,
    ``write_bound_bytes`` where the connection is given up.
    """

    connections: int = 4096
    header_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    buffered_bytes: int = 16 * 1024 * 1024
    unread_bytes: int = 16 * 1024 * 1024
    pipelined_bytes: int = 64 * 1024
    write_buffer_bytes: int = 32 * 1024
    write_bound_bytes: int = 8 * 1024 * 1024
    send_buffer_bytes: int = 64 * 1024
    header_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    stalled_ms: int = 10_000
    linger_ms: int = 2_000
