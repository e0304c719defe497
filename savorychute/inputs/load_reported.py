"""An endpoint's load report."""

from __future__ import annotations

from typing import NamedTuple


class LoadReported(NamedTuple):
    """The load that an endpoint reports of itself; it may be stale.

    ``age_ms`` is the age of the figures as the endpoint states it.
    ``cache_sequence`` numbers cache events; ``cached`` and ``evicted`` contain
    prefix hashes since the requested cursor; ``cache_gap`` says that events
    since then were lost.
    """

    endpoint: str
    age_ms: int
    running: int
    waiting: int
    kv_free_share: float
    step_ms: float
    models: tuple[str, ...]
    state: str
    cache_sequence: int
    cached: tuple[int, ...]
    evicted: tuple[int, ...]
    cache_gap: bool
