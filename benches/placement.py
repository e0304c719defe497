"""The cost of a plan at the target size, and orders under swinging demand."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from savorychute.leases.order_request import LOAD
from savorychute.placement import (
    EngineState,
    ModelDemand,
    PlacementPlanner,
    PlacementSettings,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

ENGINES = 160
SWING_ENGINES = 32
MODELS = tuple(f'model-{number:02d}' for number in range(13))
DOMAINS = ('kochi-hall', 'thrissur-hall', 'kozhikode-hall')
PLACES = 16
PLANS = 40
HOUR_MS = 3_600_000
SWING_PERIODS_MS = (40_000, 300_000, 1_200_000)
SWING_MODELS = MODELS[:4]
NS_PER_US = 1_000
QUIET_USE = 0.5
CROWDED_USE = 1.5


class RegionPlan(NamedTuple):
    """Times of the plans of one run, in us, and the orders that they gave."""

    plan_us: list[float]
    orders: int


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure plans with and without lacks, and orders.

    :param repeats: how often each measurement is taken; the median counts.
    :param rng: decides where models are.
    """
    settings = PlacementSettings(loads_per_min=60.0)
    engines = make_engines(rng)
    quiet_us = _time_plans(repeats, settings, engines, QUIET_USE)
    crowded_us = _time_plans(repeats, settings, engines, CROWDED_USE)
    rows = [
        make_row('placement plan, quiet, 160 engines', quiet_us, 'us', 0.0),
        make_row('placement plan, crowded, 160 engines', crowded_us, 'us', quiet_us),
    ]
    few = {name: engines[name] for name in sorted(engines)[:SWING_ENGINES]}
    allowed = frozenset(SWING_MODELS)
    for number, name in enumerate(few):
        loaded = frozenset({SWING_MODELS[number % len(SWING_MODELS)]})
        few[name] = few[name]._replace(allowed=allowed, loaded=loaded)
    return rows + [_measure_swing(period_ms, few) for period_ms in SWING_PERIODS_MS]


def make_engines(rng: random.Random) -> dict[str, EngineState]:
    """Return a region's engines, each with one of thirteen models.

    :param rng: decides which.
    """
    engines = {}
    for number in range(ENGINES):
        name = f'engine-{number:03d}'
        loaded = frozenset({rng.choice(MODELS)})
        domain = DOMAINS[number % len(DOMAINS)]
        engines[name] = EngineState(name, domain, PLACES, frozenset(MODELS), loaded)
    return engines


def drive(
    settings: PlacementSettings,
    engines: Mapping[str, EngineState],
    demand_by_plan: Iterable[Mapping[str, float]],
) -> RegionPlan:
    """Plan again and again; each order takes effect before the next plan.

    :param settings: of the planner.
    :param engines: at the start.
    :param demand_by_plan: requests by model.
    """
    planner = PlacementPlanner(settings)
    states = dict(engines)
    plan_us = []
    orders = 0
    now_ms = 0
    for requests in demand_by_plan:
        now_ms += settings.plan_interval_ms
        demand = [ModelDemand(*each, is_named=True) for each in requests.items()]
        fresh = [each._replace(as_of_ms=now_ms - 100) for each in states.values()]
        begin_ns = time.perf_counter_ns()
        given = planner.plan(demand, fresh, now_ms)
        plan_us.append((time.perf_counter_ns() - begin_ns) / NS_PER_US)
        orders += len(given)
        for order in given:
            loaded = states[order.endpoint].loaded - {order.target}
            if order.verb == LOAD:
                loaded |= {order.target}
            states[order.endpoint] = states[order.endpoint]._replace(loaded=loaded)
    return RegionPlan(plan_us, orders)


def _time_plans(
    repeats: int,
    settings: PlacementSettings,
    engines: Mapping[str, EngineState],
    use: float,
) -> float:
    """Return the median time of a plan after the warm-up, in us."""
    settings = settings._replace(warm_up_ms=0, min_dwell_ms=0)
    places = ENGINES * PLACES
    weight = len(MODELS) * (len(MODELS) + 1) / 2
    demand = {
        model: use * places * rank / weight for rank, model in enumerate(MODELS, 1)
    }
    medians = []
    for _ in range(repeats):
        plan = drive(settings, engines, [demand] * PLANS)
        medians.append(statistics.median(plan.plan_us[1:]))
    return statistics.median(medians)


def _measure_swing(period_ms: int, engines: Mapping[str, EngineState]) -> BenchRow:
    """Return the orders in two hours, beside those with a single average."""
    settings = PlacementSettings()
    interval_ms = settings.plan_interval_ms
    demand = []
    for at_ms in range(0, 2 * HOUR_MS, interval_ms):
        is_first = at_ms % period_ms < period_ms / 2
        even, odd = (150.0, 15.0) if is_first else (15.0, 150.0)
        demand.append(dict(zip(SWING_MODELS, (even, odd) * 2, strict=True)))
    held = drive(settings, engines, demand)
    single = settings._replace(fall_half_life_ms=settings.half_life_ms)
    alone = drive(single, engines, demand)
    name = f'placement orders in 2 h, swing of {period_ms // 1_000} s'
    return make_row(name, held.orders, 'orders', alone.orders)
