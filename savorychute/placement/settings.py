"""Settings of the placement of models."""

from __future__ import annotations

from typing import NamedTuple


class PlacementSettings(NamedTuple):
    """How much may change, how fast, and on which evidence.

    :param plan_interval_ms: the time between plans.
    :param warm_up_ms: how long a new lease holder only observes.
    :param half_life_ms: the time after which old demand has half its weight.
    :param fall_half_life_ms: the same for the number of replicas when demand
        falls.
    :param idle_requests: a smoothed demand below this counts as none.
    :param target_utilisation: the share of a model's slots that its demand may
        fill before another replica is needed.
    :param margin_share: by which share the utilisation of the other model must
        be higher before it takes the capacity of a replica.
    :param min_dwell_ms: the minimum time between two changes of one model at
        one engine.
    :param models_per_engine: how many models an engine holds; an engine that
        reported more may hold as many again.
    :param loads_per_min: the rate of loads that the weight store permits a
        region.
    :param concurrent_loads: the maximum number of loads at a time, and the
        burst of the rate.
    :param load_timeout_ms: the time after which a load that no report shows
        counts as failed.
    :param unload_timeout_ms: the time after which an unload that no report
        shows counts as failed.
    :param retry_ms: the delay before a failed order is sent again; doubled with
        each further failure at the same engine.
    :param poll_interval_ms: the age of a report from which the lease holder
        requests another one.
    :param polls_per_plan: how many reports it requests at a time.
    :param fresh_ms: the maximum age of a report on which an order may depend.
    :param forget_ms: the age of the last report from which an engine is
        considered dead, and its replicas lost.
    :param min_heard_share: the minimum share of engines with a report; below
        it the lease holder is considered cut off and sends no orders.
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
