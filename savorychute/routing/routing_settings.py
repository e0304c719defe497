"""Settings of routing."""

from __future__ import annotations

from typing import NamedTuple


class RoutingSettings(NamedTuple):
    """How endpoints are measured, polled and chosen.

    ``prefix_block_tokens`` is the number of prompt tokens that one prefix hash
    covers beyond the hash before it.  ``step_ms`` and
    ``prefill_tokens_per_step`` are used only until they are measured.
    ``sampled`` is the number of candidates that the predicted router scores;
    0 scores all of them.  ``own_weight`` is the maximum weight of a request of
    this instance relative to a reported one, ``congestion_weight`` the weight
    of an occupied slot relative to a request ahead in the queue, and
    ``doubt_weight`` the size of the random term in the estimated load of other
    instances, relative to the standard deviation of that estimate;
    docs/design/routing.rst has the measurements behind them.
    """

    domain_distance_ms: float = 0.5
    region_distance_ms: float = 30.0
    step_ms: float = 10.0
    prefill_tokens_per_step: float = 256.0
    output_tokens: float = 128.0
    service_ms: float = 20.0
    sampled: int = 0
    own_weight: float = 6.0
    congestion_weight: float = 0.3
    doubt_weight: float = 0.7
    slow_decode_weight: float = 0.25
    straggler_ratio: float = 2.5
    observation_lifetime_ms: int = 5_000
    report_lifetime_ms: int = 4_000
    poll_interval_ms: int = 500
    idle_poll_interval_ms: int = 4_000
    polls_per_s: float = 24.0
    prefix_block_tokens: int = 64
    prefix_entries: int = 16_384
    prefix_lifetime_ms: int = 120_000
    history_attempts: int = 256
