"""Tests of the placement of models."""

from __future__ import annotations

import pytest

from savorychute.leases.order_request import LOAD, UNLOAD
from savorychute.placement import (
    EngineState,
    ModelDemand,
    PlacementPlanner,
    PlacementSettings,
)

SLOTS_PER_ENGINE = 16
BOTH = frozenset({'large', 'small'})
SETTINGS = PlacementSettings(warm_up_ms=0, min_dwell_ms=60_000, loads_per_min=60.0)
START_MS = 1_000_000


def make_engine(name, loaded, domain='hall-1', allowed=BOTH):
    return EngineState(
        name, domain, SLOTS_PER_ENGINE, frozenset(allowed), frozenset(loaded)
    )


class PlanDriver:
    """Drives a planner whose orders take effect at once."""

    def __init__(self, engines, settings=SETTINGS):
        self.planner = PlacementPlanner(settings)
        self.engines = {engine.endpoint: engine for engine in engines}
        self.now_ms = START_MS
        self.executes_orders = True

    def run(self, duration_ms, **requests):
        """Plan for a while under one demand and return all orders."""
        demand = [ModelDemand(model, count) for model, count in requests.items()]
        return self.run_demand(duration_ms, demand)

    def run_demand(self, duration_ms, demand):
        """Plan for a while under one demand and return all orders."""
        orders = []
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 5_000
            engines = [
                engine._replace(as_of_ms=self.now_ms - 100)
                for engine in self.engines.values()
            ]
            for order in self.planner.plan(demand, engines, self.now_ms):
                orders.append(order)
                if self.executes_orders:
                    self._execute(order)
        return orders

    def _execute(self, order):
        engine = self.engines[order.endpoint]
        loaded = engine.loaded | {order.target}
        if order.verb == UNLOAD:
            loaded -= {order.target}
        self.engines[order.endpoint] = engine._replace(loaded=loaded)


@pytest.fixture
def pair():
    return [make_engine('e1', ['small']), make_engine('e2', ['small'], 'hall-2')]


def test_nothing_is_ordered_if_each_engine_has_its_only_allowed_model():
    allowed = ['small']
    engines = [make_engine(f'e{n}', allowed, allowed=allowed) for n in range(9)]
    driver = PlanDriver(engines)
    assert driver.run(600_000, small=500) == []


def test_model_with_demand_and_no_replica_is_loaded_into_free_capacity(pair):
    driver = PlanDriver([*pair, make_engine('e3', [])])
    (order, *_) = driver.run(60_000, small=2, large=3)
    assert (order.endpoint, order.verb, order.target) == ('e3', LOAD, 'large')
    assert order.why == 'no copy for 3.0 requests'


def test_idle_replica_is_replaced_only_after_its_dwell_time(pair):
    driver = PlanDriver(pair)
    assert driver.run(50_000, large=3) == []
    orders = driver.run(30_000, large=3)
    changes = [(order.verb, order.target) for order in orders]
    assert changes == [(UNLOAD, 'small')] * 2 + [(LOAD, 'large')] * 2


def test_last_replica_with_demand_is_never_unloaded():
    """Two models have demand on one engine; the loaded one stays.

    The other model is overloaded, but replacing the last replica of the loaded
    one would leave it without any.
    """
    driver = PlanDriver([make_engine('e1', ['small'])])
    assert driver.run(900_000, small=1, large=100) == []


def test_last_replica_that_a_contract_names_is_retained_without_demand():
    driver = PlanDriver([make_engine('e1', ['small'])])
    demand = [ModelDemand('small', 0, is_named=True), ModelDemand('large', 9)]
    assert driver.run_demand(900_000, demand) == []


def test_replica_is_not_unloaded_before_its_successor_is_ready(pair):
    """Guards against unloading a model before its replacement is loaded.

    Two engines swap their models, and the first load is slow.  If a load
    counted as done when it was ordered, the old replica would be unloaded while
    no engine could serve the model.
    """
    driver = PlanDriver([pair[0], make_engine('e2', ['large'], 'hall-2')])
    driver.executes_orders = False
    orders = driver.run(600_000, small=100, large=1)
    assert all(order.verb == LOAD for order in orders)


def test_replicas_are_spread_over_two_domains():
    engines = [
        make_engine('e1', ['small']),
        make_engine('e2', []),
        make_engine('e3', [], 'hall-2'),
    ]
    driver = PlanDriver(engines)
    (order,) = driver.run(120_000, small=1)
    assert (order.endpoint, order.verb) == ('e3', LOAD)


def test_stale_reports_cause_no_orders_but_polls(pair):
    """The polls of the lease holder are lost; its reports are a minute old."""
    planner = PlacementPlanner(SETTINGS)
    engines = [engine._replace(as_of_ms=START_MS) for engine in pair]
    for now_ms in range(START_MS, START_MS + 80_000, 5_000):
        orders = planner.plan([ModelDemand('large', 5)], engines, now_ms)
        assert orders == []
    assert planner.stale_engines == {'e1', 'e2'}


def test_holder_that_is_cut_off_orders_nothing(pair):
    """The lease holder gets reports of one engine in four; the rest look dead."""
    planner = PlacementPlanner(SETTINGS)
    unreported = [make_engine(f's{n}', ['small']) for n in range(3)]
    reporting = make_engine('e1', [])
    for now_ms in range(START_MS, START_MS + 300_000, 5_000):
        engines = [reporting._replace(as_of_ms=now_ms), *unreported]
        assert planner.plan([ModelDemand('small', 5)], engines, now_ms) == []


def test_refused_order_is_retried_only_after_a_delay(pair):
    driver = PlanDriver([*pair, make_engine('e3', [])])
    driver.executes_orders = False
    (order,) = driver.run(10_000, large=3)
    driver.planner.record_refused_order(order.endpoint, order.target, driver.now_ms)
    assert driver.run(25_000, large=3) == []
    assert driver.run(10_000, large=3)[0] == order


def test_two_models_without_a_replica_do_not_replace_both_replicas_of_a_third(pair):
    """Two unloads are planned before any report shows the first one.

    Each unload alone would leave one replica; together they leave none.
    """
    engines = [engine._replace(allowed=BOTH | {'tiny'}) for engine in pair]
    driver = PlanDriver(engines)
    orders = driver.run(300_000, small=1, large=3, tiny=3)
    assert [order.verb for order in orders] == [UNLOAD, LOAD]


def test_overloaded_model_leaves_others_two_domains():
    """Only the one replica in the second domain could be unloaded."""
    engines = [
        make_engine('e1', ['small'], allowed=['small']),
        make_engine('e2', ['small'], allowed=['small']),
        make_engine('e3', ['small'], 'hall-2'),
        make_engine('e4', ['large'], allowed=['large']),
        make_engine('e5', ['large'], 'hall-2', allowed=['large']),
    ]
    driver = PlanDriver(engines)
    assert driver.run(600_000, small=1, large=100) == []


def test_loads_stay_within_the_rate_of_the_weight_store():
    """Twenty engines restart empty at once, and a model needs all of them."""
    engines = [make_engine(f'e{n}', [], f'hall-{n % 2}') for n in range(20)]
    settings = SETTINGS._replace(loads_per_min=6.0, concurrent_loads=2)
    driver = PlanDriver(engines, settings)
    assert len(driver.run(120_000, large=1_000)) == 11
    assert len(driver.run(60_000, large=1_000)) == 6


def test_successor_is_loaded_while_an_engine_drains():
    """An operator drains the only engine of a model while requests run there.

    A replica that gets no new requests does not count, and gets no orders.
    """
    leaving = make_engine('e1', ['small'])._replace(is_usable=False)
    driver = PlanDriver([leaving, make_engine('e2', [], allowed=['small'])])
    (order,) = driver.run(120_000, small=2)
    assert (order.endpoint, order.verb) == ('e2', LOAD)


def test_engine_that_reported_two_models_can_hold_two_again():
    engines = [make_engine('e1', ['small', 'large'])]
    driver = PlanDriver(engines)
    driver.run(20_000, small=1, large=1)
    driver.engines['e1'] = make_engine('e1', [])
    driver.run(120_000, small=1, large=1)
    assert driver.engines['e1'].loaded == BOTH


def test_engine_that_refuses_orders_gets_fewer_of_them(pair):
    """An engine refuses every order, and a model has no replica.

    With an order every 30 s it would use up the rate of the weight store, and
    the audit trail would get 1,200 records in ten hours.
    """
    driver = PlanDriver([*pair, make_engine('e3', [], allowed=['large'])])
    driver.engines['e1'] = pair[0]._replace(allowed=frozenset({'small'}))
    driver.engines['e2'] = pair[1]._replace(allowed=frozenset({'small'}))
    driver.executes_orders = False
    orders = []
    for _ in range(2 * 3_600):
        new_orders = driver.run(5_000, large=3)
        orders += new_orders
        for order in new_orders:
            driver.planner.record_refused_order(
                order.endpoint, order.target, driver.now_ms
            )
    assert 10 <= len(orders) <= 20
