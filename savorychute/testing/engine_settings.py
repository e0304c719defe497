"""Settings of a stand-in model engine."""

from __future__ import annotations

from typing import NamedTuple


class EngineSettings(NamedTuple):
    """Size and behaviour of one engine.

    A step generates one token for each running stream and takes
    ``step_ms + step_ms_per_stream * running``.  ``chunk_steps`` is the number of
    steps that one event covers after the first token, a simplification that
    keeps simulations fast.  ``crash_share`` is the probability that a poison
    prompt crashes the engine.  ``cache_gap_share`` is the probability that a
    cache event is lost before it is published.
    """

    name: str = 'engine'
    models: tuple[str, ...] = ('model',)
    step_ms: float = 5.0
    step_ms_per_stream: float = 0.25
    prefill_tokens_per_s: float = 20_000.0
    max_running: int = 16
    max_waiting: int = 256
    kv_tokens: int = 64_000
    cache_blocks: int = 1_024
    chunk_steps: int = 8
    keep_ms: float = 15_000.0
    report_lag_ms: float = 100.0
    cache_lag_ms: float = 500.0
    cache_events_kept: int = 512
    cache_gap_share: float = 0.0
    checks_fencing: bool = True
    crash_share: float = 1.0
    poison_delay_ms: float = 30.0
