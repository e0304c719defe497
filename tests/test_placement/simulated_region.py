"""Engines that obey a planner, and the promises that it must keep."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.leases.order_request import LOAD, UNLOAD
from savorychute.placement import (
    EngineState,
    ModelDemand,
    PlacementPlanner,
    PlacementSettings,
)

PLACES = 16
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
    """An order and when the planner gave it."""

    at_ms: int
    endpoint: str
    verb: str
    target: str


class SimulatedEngine:
    """What an engine truly holds, and what it last reported."""

    def __init__(self, name, domain, loaded, allowed):
        self.name = name
        self.domain = domain
        self.allowed = frozenset(allowed)
        self.loaded = set(loaded)
        self.loading = {}
        self.is_up = True
        self.is_heard = True
        self.reported = (frozenset(), -1)
        self._history = []

    def report(self, lag_ms, now_ms):
        """Deliver what was true *lag_ms* ago, unless it never gets through."""
        for model, ready_ms in list(self.loading.items()):
            if ready_ms <= now_ms:
                self.loaded.add(model)
                del self.loading[model]
        if not self.is_up:
            return
        self._history.append((frozenset(self.loaded), now_ms))
        old = [each for each in self._history if each[1] <= now_ms - lag_ms]
        if self.is_heard and old and old[-1][1] >= self.reported[1]:
            self.reported = old[-1]

    def obey(self, order, load_ms, now_ms):
        """Carry an order out; one that is down loses it."""
        if not self.is_up:
            return
        if order.verb == LOAD:
            self.loading[order.target] = now_ms + load_ms
        else:
            self.loaded.discard(order.target)

    def crash(self, keeps):
        """Go down; *keeps* says whether models are there after a restart."""
        self.is_up = False
        self.loading.clear()
        self._history.clear()
        if not keeps:
            self.loaded.clear()


class SimulatedRegion:
    """Drives a planner, carries its orders out, and checks every one.

    :param engines: simulated.
    :param named: models that contracts name.
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
        self.refuses = False
        self.orders = []
        self.crashed_ms = 0

    def run_for(self, duration_ms):
        """Let time pass, planning as often as a desk does."""
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
            self._take(order)

    def holders(self, model):
        """Return the engines that truly serve a model."""
        return [
            engine.name
            for engine in self.engines.values()
            if engine.is_up and model in engine.loaded
        ]

    def _describe(self, engine):
        loaded, as_of_ms = engine.reported
        return EngineState(
            engine.name, engine.domain, PLACES, engine.allowed, loaded, as_of_ms
        )

    def _take(self, order):
        sent = SentOrder(self.now_ms, order.endpoint, order.verb, order.target)
        assert order.target in self.engines[order.endpoint].allowed
        if order.verb == UNLOAD:
            self._check_unload(sent)
        self._check_dwell(sent)
        self.orders.append(sent)
        self._check_rate()
        if self.refuses:
            self.planner.order_refused(order.endpoint, order.target, self.now_ms)
            return
        self.engines[order.endpoint].obey(order, self.load_ms, self.now_ms)

    def _check_unload(self, sent):
        """A wanted model keeps a copy that a fresh report shows ready."""
        model = sent.target
        if model not in self.named and not self.demand.get(model):
            return
        others = [
            engine
            for engine in self.engines.values()
            if engine.name != sent.endpoint and self._shows(engine, model)
        ]
        assert others, f'the last ready copy of {model} is unloaded'
        if self.now_ms - self.crashed_ms > self.settings.fresh_ms:
            left = set(self.holders(model)) - {sent.endpoint}
            assert left, f'{model} is served nowhere'

    def _shows(self, engine, model):
        loaded, as_of_ms = engine.reported
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
        """No model comes and goes at one engine within the dwell time."""
        for before in self.orders:
            same = (before.endpoint, before.target) == (sent.endpoint, sent.target)
            if same and before.verb != sent.verb and not self.refuses:
                assert sent.at_ms - before.at_ms >= self.settings.min_dwell_ms

    def _check_rate(self):
        """The weight store's rate is kept in every window that ends now."""
        rate_per_ms = self.settings.loads_per_min / MS_PER_MIN
        times = [order.at_ms for order in self.orders if order.verb == LOAD]
        for index, begin_ms in enumerate(times):
            permitted = self.settings.concurrent_loads
            permitted += rate_per_ms * (self.now_ms - begin_ms)
            assert len(times) - index <= permitted + 1e-6
