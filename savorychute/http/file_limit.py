"""The limit that file descriptors set on connections."""

from __future__ import annotations

import resource

RESERVED_FILES = 64


def connection_limit_by_files() -> int:
    """Return how many callers the file descriptor limit permits.

    A request needs one descriptor for its caller and one for its endpoint;
    some are reserved for the platform, peers and the event loop.  Without this
    limit, ``accept`` fails and callers wait for a response that never arrives.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, (soft - RESERVED_FILES) // 2)
