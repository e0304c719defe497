"""Settings of the placement of models."""

from __future__ import annotations

from typing import NamedTuple


class PlacementSettings(NamedTuple):
    """How much may change, how fast, and how sure the reason must be.

    :param plan_interval_ms: how often demand is weighed.
    :param warm_up_ms: how long a new holder only watches.
    :param half_life_ms: after how long an old demand counts half.
    :param fall_half_life_ms: the same for the number of copies when demand
        falls.
    :param idle_requests: a smoothed demand below this is none.
    :param target_utilisation: the share of a model's places that its demand
        may fill before another copy is wanted.
    :param margin_share: how much better a place must be used elsewhere before
        a copy moves.
    :param min_dwell_ms: how long a change of one model at one engine stays.
    :param models_per_engine: how many models an engine holds; one that was
        seen with more may hold as many again.
    :param loads_per_min: the rate that the weight store permits a region.
    :param concurrent_loads: loads at a time, and the most that are saved up.
    :param load_timeout_ms: when a load that never shows counts as failed.
    :param unload_timeout_ms: when an unload that never shows counts as failed.
    :param retry_ms: how long an order that failed is not repeated; doubled
        with each further failure at the same engine.
    :param poll_interval_ms: the greatest age of a report before the holder
        asks for another one.
    :param polls_per_plan: how many reports it asks for at a time.
    :param fresh_ms: a report older than this proves nothing that an order
        depends on.
    :param forget_ms: an engine silent for this long is taken for dead, and
        its copies for lost.
    :param min_heard_share: with fewer engines heard of than this share, the
        holder is taken to be cut off, and nothing is ordered.
    """

    plan_interval_ms: int = 5_000
    warm_up_ms: int = 60_000
    half_life_ms: int = 30_000
    fall_half_life_ms: int = 600_000
    idle_requests: float = 0.05
    target_utilisation: float = 0.8
    margin_share: float = 0.25
    min_dwell_ms: int = 300_000
    models_per_engine: int = 1
    loads_per_min: float = 6.0
    concurrent_loads: int = 2
    load_timeout_ms: int = 600_000
    unload_timeout_ms: int = 60_000
    retry_ms: int = 30_000
    poll_interval_ms: int = 30_000
    polls_per_plan: int = 32
    fresh_ms: int = 10_000
    forget_ms: int = 90_000
    min_heard_share: float = 0.4
