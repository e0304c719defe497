"""The load report of a stand-in engine."""

from __future__ import annotations

from typing import NamedTuple


class EngineLoad(NamedTuple):
    """The load that the engine reports, ``age_ms`` old."""

    age_ms: int
    running: int
    waiting: int
    kv_free_share: float
    step_ms: float
    models: tuple[str, ...]
    state: str
    cache_sequence: int = 0
    cached: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cache_gap: bool = False
