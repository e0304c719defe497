"""Simulated engines that execute a planner's orders, and its guarantees."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.leases.order_request import LOAD, UNLOAD
from savorychute.placement import (
    EngineState,
    ModelDemand,
    PlacementPlanner,
    PlacementSettings,
)

SLOTS_PER_ENGINE = 16
STEP_MS = 5_000
START_MS = 1_000_000
MS_PER_MIN = 60_000
SETTINGS = PlacementSettings(
    warm_up_ms=10_000,
    half_life_ms=20_000,
    fall_half_life_ms=200_000,
    min_dwell_ms=60_000,
    loads_per_min=6.0,
    load_timeout_ms=120_000,
)


class SentOrder(NamedTuple):
    """An order and the time at which the planner sent it."""

    at_ms: int
    endpoint: str
    verb: str
    target: str


class SimulatedEngine:
    """The models that an engine has loaded, and its last report."""

    def __init__(self, name, domain, loaded, allowed):
        self.name = name
        self.domain = domain
        self.allowed = frozenset(allowed)
        self.loaded = set(loaded)
        self.loading = {}
        self.is_up = True
        self.delivers_reports = True
        self.last_report = (frozenset(), -1)
        self._history = []

    def report(self, lag_ms, now_ms):
        """Deliver the state of *lag_ms* ago, unless reports are lost."""
        for model, ready_ms in list(self.loading.items()):
            if ready_ms <= now_ms:
                self.loaded.add(model)
                del self.loading[model]
        if not self.is_up:
            return
        self._history.append((frozenset(self.loaded), now_ms))
        delayed_reports = [
            report for report in self._history if report[1] <= now_ms - lag_ms
        ]
        if (
            self.delivers_reports
            and delayed_reports
            and delayed_reports[-1][1] >= self.last_report[1]
        ):
            self.last_report = delayed_reports[-1]

    def execute(self, order, load_ms, now_ms):
        """Execute an order; an engine that is down loses it."""
        if not self.is_up:
            return
        if order.verb == LOAD:
            self.loading[order.target] = now_ms + load_ms
        else:
            self.loaded.discard(order.target)

    def crash(self, keeps_models):
        """Crash; *keeps_models* is whether models are loaded after a restart."""
        self.is_up = False
        self.loading.clear()
        self._history.clear()
        if not keeps_models:
            self.loaded.clear()


class SimulatedRegion:
    """Drives a planner, executes its orders, and checks each of them.

    :param engines: the simulated engines.
    :param named: the models that contracts name.
    """

    def __init__(self, engines, named=(), settings=SETTINGS):
        self.settings = settings
        self.planner = PlacementPlanner(settings)
        self.engines = {engine.name: engine for engine in engines}
        self.named = frozenset(named)
        self.demand = {}
        self.now_ms = START_MS
        self.load_ms = 10_000
        self.lag_ms = 500
        self.refuses_orders = False
        self.orders = []
        self.crashed_ms = 0

    def run_for(self, duration_ms):
        """Let time pass and plan at the interval of an instance."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def step(self):
        """Let one interval pass and plan once."""
        self.now_ms += STEP_MS
        for engine in self.engines.values():
            engine.report(self.lag_ms, self.now_ms)
        models = self.named | self.demand.keys()
        demand = [
            ModelDemand(model, self.demand.get(model, 0), model in self.named)
            for model in sorted(models)
        ]
        states = [self._describe(engine) for engine in self.engines.values()]
        for order in self.planner.plan(demand, states, self.now_ms):
            self._execute_order(order)

    def engines_with(self, model):
        """Return the engines that are up and have a model loaded."""
        return [
            engine.name
            for engine in self.engines.values()
            if engine.is_up and model in engine.loaded
        ]

    def _describe(self, engine):
        loaded, as_of_ms = engine.last_report
        return EngineState(
            engine.name,
            engine.domain,
            SLOTS_PER_ENGINE,
            engine.allowed,
            loaded,
            as_of_ms,
        )

    def _execute_order(self, order):
        sent = SentOrder(self.now_ms, order.endpoint, order.verb, order.target)
        assert order.target in self.engines[order.endpoint].allowed
        if order.verb == UNLOAD:
            self._check_unload(sent)
        self._check_dwell(sent)
        self.orders.append(sent)
        self._check_rate()
        if self.refuses_orders:
            self.planner.record_refused_order(order.endpoint, order.target, self.now_ms)
            return
        self.engines[order.endpoint].execute(order, self.load_ms, self.now_ms)

    def _check_unload(self, sent):
        """Check that a required model keeps a replica that a fresh report shows."""
        model = sent.target
        if model not in self.named and not self.demand.get(model):
            return
        others = [
            engine
            for engine in self.engines.values()
            if engine.name != sent.endpoint and self._shows_ready(engine, model)
        ]
        assert others, f'the last ready replica of {model} is unloaded'
        if self.now_ms - self.crashed_ms > self.settings.fresh_ms:
            remaining = set(self.engines_with(model)) - {sent.endpoint}
            assert remaining, f'{model} is served nowhere'

    def _shows_ready(self, engine, model):
        loaded, as_of_ms = engine.last_report
        unloaded = any(
            order.endpoint == engine.name
            and order.target == model
            and order.verb == UNLOAD
            and order.at_ms >= as_of_ms
            for order in self.orders
        )
        is_fresh = self.now_ms - as_of_ms <= self.settings.fresh_ms
        return model in loaded and is_fresh and not unloaded

    def _check_dwell(self, sent):
        """Check that the dwell time passes between opposite orders for one model."""
        for previous in self.orders:
            same = (previous.endpoint, previous.target) == (sent.endpoint, sent.target)
            if same and previous.verb != sent.verb and not self.refuses_orders:
                assert sent.at_ms - previous.at_ms >= self.settings.min_dwell_ms

    def _check_rate(self):
        """Check the rate of the weight store over every window that ends now."""
        rate_per_ms = self.settings.loads_per_min / MS_PER_MIN
        times = [order.at_ms for order in self.orders if order.verb == LOAD]
        for index, window_start_ms in enumerate(times):
            permitted = self.settings.concurrent_loads
            permitted += rate_per_ms * (self.now_ms - window_start_ms)
            assert len(times) - index <= permitted + 1e-6
