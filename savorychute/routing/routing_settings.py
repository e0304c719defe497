"""Settings of routing."""

from __future__ import annotations

from typing import NamedTuple


class RoutingSettings(NamedTuple):
    """How endpoints are measured, polled and chosen.

    ``prefix_block_tokens`` is how many tokens of a prompt one prefix hash
    covers beyond the hash before it.  ``step_ms`` and ``prefill_tokens_per_step`` hold only until they are
    measured.  ``sampled`` is how many candidates the predicted router scores;
    0 scores all of them.  ``own_weight`` is at most what a request of this
    instance counts against one that a report tells of, ``congestion_weight`` what a taken
    place counts against a request ahead in the queue, ``doubt_weight`` how much of
    a report's uncertainty is drawn at random; docs/design/routing.rst has the
    measurements that chose them.
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
