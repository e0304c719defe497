"""Limits of an HTTP server."""

from __future__ import annotations

from typing import NamedTuple


class HttpLimits(NamedTuple):
    """Limits beyond which a server refuses or disconnects callers.

    ``buffered_bytes`` limits the request bodies that all connections hold together.
    ``heads_bytes`` limits all that they hold of requests besides: heads, and what was
    received and not processed yet.
    ``pipelined_bytes`` limits what is read ahead of the request in progress;
    beyond it the connection is not read until the response has been sent.
    ``unread_bytes`` limits the responses that callers have not read yet, over all
    connections; beyond it the slowest readers are aborted.
    ``stalled_ms`` is how long a response may wait for a caller that reads
    nothing.  ``write_buffer_bytes`` is where back-pressure starts, and
    ``max_write_buffer_bytes`` where the connection is aborted.  ``send_buffer_bytes``
    and ``receive_buffer_bytes`` limit the kernel's buffers.  ``linger_ms`` is how long
    a connection stays open after its last response, so that the caller can read it.
    """

    connections: int = 4096
    header_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    buffered_bytes: int = 16 * 1024 * 1024
    heads_bytes: int = 16 * 1024 * 1024
    unread_bytes: int = 16 * 1024 * 1024
    pipelined_bytes: int = 16 * 1024
    write_buffer_bytes: int = 32 * 1024
    max_write_buffer_bytes: int = 8 * 1024 * 1024
    send_buffer_bytes: int = 64 * 1024
    receive_buffer_bytes: int = 64 * 1024
    header_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    stalled_ms: int = 10_000
    linger_ms: int = 2_000
