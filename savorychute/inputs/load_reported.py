"""An endpoint's load report."""

from __future__ import annotations

from typing import NamedTuple


class LoadReported(NamedTuple):
    """What an endpoint said of itself, true some time ago.

    ``age_ms`` is how old the endpoint says the figures are.
    ``cache_sequence`` numbers cache events; ``cached`` and ``evicted`` hold
    prefix hashes since the cursor that was asked for; ``cache_gap`` says that
    events in between are lost.
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
