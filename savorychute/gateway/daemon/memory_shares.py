"""Shares of a process's memory."""

from __future__ import annotations

BYTES_PER_MB = 1 << 20
# For request bodies, and as much for what callers have not read of their responses.
BUFFER_MEMORY_SHARE = 0.15
# For heads of requests, and what is read ahead of them.
HEADS_MEMORY_SHARE = 0.08
# For the connections to all ports themselves, and the size of one with a request.
CONNECTIONS_MEMORY_SHARE = 0.2
CONNECTION_BYTES = 32 * 1024
# For responses that are held until they are complete.
HELD_MEMORY_SHARE = 0.1


def response_limit_bytes(response_mb: float) -> int:
    """Return the size of the largest accepted response in bytes.

    :param response_mb: the setting.
    """
    return int(response_mb * BYTES_PER_MB)


def share_of_memory(share: float, memory_mb: float) -> int:
    """Return a share of the memory in bytes.

    :param share: the share.
    :param memory_mb: memory that the process may use.
    """
    return int(share * memory_mb * BYTES_PER_MB)
