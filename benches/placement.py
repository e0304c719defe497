"""Cost of a placement plan at the target size, and orders under varying demand."""

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
SLOTS_PER_ENGINE = 16
PLANS = 40
HOUR_MS = 3_600_000
SWING_PERIODS_MS = (40_000, 300_000, 1_200_000)
SWING_MODELS = MODELS[:4]
NS_PER_US = 1_000
LOW_USE = 0.5
OVERLOADED_USE = 1.5


class PlanFigures(NamedTuple):
    """Times of the plans of one run in us, and the number of their orders."""

    plan_us: list[float]
    orders: int


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure plans with and without a shortage of capacity, and count orders.

    :param repeats: number of measurements, of which the median is returned.
    :param rng: chooses the models of the engines.
    """
    settings = PlacementSettings(loads_per_min=60.0)
    engines = make_engines(rng)
    low_us = _time_plans(repeats, settings, engines, LOW_USE)
    overloaded_us = _time_plans(repeats, settings, engines, OVERLOADED_USE)
    rows = [
        make_row('placement plan, quiet, 160 engines', low_us, 'us', 0.0),
        make_row('placement plan, crowded, 160 engines', overloaded_us, 'us', low_us),
    ]
    swing_engines = {name: engines[name] for name in sorted(engines)[:SWING_ENGINES]}
    allowed = frozenset(SWING_MODELS)
    for number, name in enumerate(swing_engines):
        loaded = frozenset({SWING_MODELS[number % len(SWING_MODELS)]})
        swing_engines[name] = swing_engines[name]._replace(
            allowed=allowed, loaded=loaded
        )
    return rows + [
        _measure_swing(period_ms, swing_engines) for period_ms in SWING_PERIODS_MS
    ]


def make_engines(rng: random.Random) -> dict[str, EngineState]:
    """Return the engines of a region, each with one of 13 models loaded.

    :param rng: chooses the models.
    """
    engines = {}
    for number in range(ENGINES):
        name = f'engine-{number:03d}'
        loaded = frozenset({rng.choice(MODELS)})
        domain = DOMAINS[number % len(DOMAINS)]
        engines[name] = EngineState(
            name, domain, SLOTS_PER_ENGINE, frozenset(MODELS), loaded
        )
    return engines


def run_plans(
    settings: PlacementSettings,
    engines: Mapping[str, EngineState],
    demand_by_plan: Iterable[Mapping[str, float]],
) -> PlanFigures:
    """Make consecutive plans; each order takes effect before the next plan.

    :param settings: settings of the planner.
    :param engines: the initial state of the engines.
    :param demand_by_plan: for each plan, the requests by model.
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
        start_ns = time.perf_counter_ns()
        new_orders = planner.plan(demand, fresh, now_ms)
        plan_us.append((time.perf_counter_ns() - start_ns) / NS_PER_US)
        orders += len(new_orders)
        for order in new_orders:
            loaded = states[order.endpoint].loaded - {order.target}
            if order.verb == LOAD:
                loaded |= {order.target}
            states[order.endpoint] = states[order.endpoint]._replace(loaded=loaded)
    return PlanFigures(plan_us, orders)


def _time_plans(
    repeats: int,
    settings: PlacementSettings,
    engines: Mapping[str, EngineState],
    use: float,
) -> float:
    """Return the median time of a plan in us, without the first plan."""
    settings = settings._replace(warm_up_ms=0, min_dwell_ms=0)
    slots = ENGINES * SLOTS_PER_ENGINE
    rank_sum = len(MODELS) * (len(MODELS) + 1) / 2
    demand = {
        model: use * slots * rank / rank_sum for rank, model in enumerate(MODELS, 1)
    }
    medians = []
    for _ in range(repeats):
        plan = run_plans(settings, engines, [demand] * PLANS)
        medians.append(statistics.median(plan.plan_us[1:]))
    return statistics.median(medians)


def _measure_swing(period_ms: int, engines: Mapping[str, EngineState]) -> BenchRow:
    """Return the orders in 2 hours, compared with those of a single average."""
    settings = PlacementSettings()
    interval_ms = settings.plan_interval_ms
    demand = []
    for at_ms in range(0, 2 * HOUR_MS, interval_ms):
        is_first = at_ms % period_ms < period_ms / 2
        even, odd = (150.0, 15.0) if is_first else (15.0, 150.0)
        demand.append(dict(zip(SWING_MODELS, (even, odd) * 2, strict=True)))
    double_average = run_plans(settings, engines, demand)
    single_settings = settings._replace(fall_half_life_ms=settings.half_life_ms)
    single_average = run_plans(single_settings, engines, demand)
    name = f'placement orders in 2 h, swing of {period_ms // 1_000} s'
    return make_row(name, double_average.orders, 'orders', single_average.orders)
