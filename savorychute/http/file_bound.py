"""The bound that file descriptors set."""

from __future__ import annotations

import resource

RESERVED_FILES = 64


def connections_by_files() -> int:
    """Return how many callers the file descriptor limit permits.

    A request needs a descriptor towards its caller and one towards its
    endpoint; some are kept for the platform, peers and the loop itself.
    Without the bound ``accept`` fails and callers wait for no answer.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, (soft - RESERVED_FILES) // 2)
