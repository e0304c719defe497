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

PLACES = 16
BOTH = frozenset({'large', 'small'})
SETTINGS = PlacementSettings(warm_up_ms=0, min_dwell_ms=60_000, loads_per_min=60.0)
START_MS = 1_000_000


def make_engine(name, loaded, domain='hall-1', allowed=BOTH):
    return EngineState(name, domain, PLACES, frozenset(allowed), frozenset(loaded))


class Drive:
    """A planner whose orders take effect at once."""

    def __init__(self, engines, settings=SETTINGS):
        self.planner = PlacementPlanner(settings)
        self.engines = {engine.endpoint: engine for engine in engines}
        self.now_ms = START_MS
        self.obeys = True

    def run(self, duration_ms, **requests):
        """Plan for a while under one demand and return all orders."""
        demand = [ModelDemand(model, each) for model, each in requests.items()]
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
                if self.obeys:
                    self._obey(order)
        return orders

    def _obey(self, order):
        engine = self.engines[order.endpoint]
        loaded = engine.loaded | {order.target}
        if order.verb == UNLOAD:
            loaded -= {order.target}
        self.engines[order.endpoint] = engine._replace(loaded=loaded)


@pytest.fixture
def pair():
    return [make_engine('e1', ['small']), make_engine('e2', ['small'], 'hall-2')]


def test_nothing_is_ordered_where_all_have_what_they_may_serve():
    allowed = ['small']
    engines = [make_engine(f'e{n}', allowed, allowed=allowed) for n in range(9)]
    drive = Drive(engines)
    assert drive.run(600_000, small=500) == []


def test_model_in_demand_without_a_copy_is_loaded_into_a_free_place(pair):
    drive = Drive([*pair, make_engine('e3', [])])
    (order, *_) = drive.run(60_000, small=2, large=3)
    assert (order.endpoint, order.verb, order.target) == ('e3', LOAD, 'large')
    assert order.why == 'no copy for 3.0 requests'


def test_idle_copy_gives_way_after_its_dwell_time_only(pair):
    drive = Drive(pair)
    assert drive.run(50_000, large=3) == []
    orders = drive.run(30_000, large=3)
    changes = [(order.verb, order.target) for order in orders]
    assert changes == [(UNLOAD, 'small')] * 2 + [(LOAD, 'large')] * 2


def test_last_copy_in_demand_is_never_unloaded():
    """The other model is overrun, but taking the place would leave none.

    One engine, two models in demand: whoever is loaded stays.
    """
    drive = Drive([make_engine('e1', ['small'])])
    assert drive.run(900_000, small=1, large=100) == []


def test_last_copy_that_a_contract_names_is_kept_without_demand():
    drive = Drive([make_engine('e1', ['small'])])
    demand = [ModelDemand('small', 0, is_named=True), ModelDemand('large', 9)]
    assert drive.run_demand(900_000, demand) == []


def test_copy_is_not_emptied_before_the_successor_is_ready(pair):
    """Two engines are told to change places, and the first load is slow.

    Were the load taken for done when it was ordered, the old copy would be
    unloaded while no engine could serve the model.
    """
    drive = Drive([pair[0], make_engine('e2', ['large'], 'hall-2')])
    drive.obeys = False
    orders = drive.run(600_000, small=100, large=1)
    assert all(order.verb == LOAD for order in orders)


def test_copies_are_spread_over_two_domains():
    engines = [
        make_engine('e1', ['small']),
        make_engine('e2', []),
        make_engine('e3', [], 'hall-2'),
    ]
    drive = Drive(engines)
    (order,) = drive.run(120_000, small=1)
    assert (order.endpoint, order.verb) == ('e3', LOAD)


def test_old_reports_move_nothing_and_are_asked_for(pair):
    """The holder's polls are lost; its picture of the engines is a minute old."""
    planner = PlacementPlanner(SETTINGS)
    engines = [engine._replace(as_of_ms=START_MS) for engine in pair]
    for now_ms in range(START_MS, START_MS + 80_000, 5_000):
        orders = planner.plan([ModelDemand('large', 5)], engines, now_ms)
        assert orders == []
    assert planner.questions == {'e1', 'e2'}


def test_cut_off_holder_orders_nothing(pair):
    """The holder hears of one engine in four and takes the rest for dead."""
    planner = PlacementPlanner(SETTINGS)
    silent = [make_engine(f's{n}', ['small']) for n in range(3)]
    heard = make_engine('e1', [])
    for now_ms in range(START_MS, START_MS + 300_000, 5_000):
        engines = [heard._replace(as_of_ms=now_ms), *silent]
        assert planner.plan([ModelDemand('small', 5)], engines, now_ms) == []


def test_refused_order_is_repeated_after_a_while_only(pair):
    drive = Drive([*pair, make_engine('e3', [])])
    drive.obeys = False
    (order,) = drive.run(10_000, large=3)
    drive.planner.order_refused(order.endpoint, order.target, drive.now_ms)
    assert drive.run(25_000, large=3) == []
    assert drive.run(10_000, large=3)[0] == order


def test_two_models_without_a_copy_do_not_take_both_copies_of_a_third(pair):
    """Both are planned at once, before any report shows the first unload.

    Each unload alone would leave a copy; together they leave none.
    """
    engines = [engine._replace(allowed=BOTH | {'tiny'}) for engine in pair]
    drive = Drive(engines)
    orders = drive.run(300_000, small=1, large=3, tiny=3)
    assert [order.verb for order in orders] == [UNLOAD, LOAD]


def test_crowded_model_leaves_others_two_domains():
    """Only the one copy in the second domain could give way."""
    engines = [
        make_engine('e1', ['small'], allowed=['small']),
        make_engine('e2', ['small'], allowed=['small']),
        make_engine('e3', ['small'], 'hall-2'),
        make_engine('e4', ['large'], allowed=['large']),
        make_engine('e5', ['large'], 'hall-2', allowed=['large']),
    ]
    drive = Drive(engines)
    assert drive.run(600_000, small=1, large=100) == []


def test_loads_keep_to_the_rate_of_the_weight_store():
    """Twenty engines come back empty at once, and a model needs them all."""
    engines = [make_engine(f'e{n}', [], f'hall-{n % 2}') for n in range(20)]
    settings = SETTINGS._replace(loads_per_min=6.0, concurrent_loads=2)
    drive = Drive(engines, settings)
    assert len(drive.run(120_000, large=1_000)) == 11
    assert len(drive.run(60_000, large=1_000)) == 6


def test_successor_is_loaded_while_an_engine_drains():
    """An operator drains the only engine of a model; its work still runs there.

    A copy that gets no new work is none, and no order goes to it.
    """
    leaving = make_engine('e1', ['small'])._replace(is_usable=False)
    drive = Drive([leaving, make_engine('e2', [], allowed=['small'])])
    (order,) = drive.run(120_000, small=2)
    assert (order.endpoint, order.verb) == ('e2', LOAD)


def test_engine_that_was_seen_with_two_models_may_hold_two_again():
    engines = [make_engine('e1', ['small', 'large'])]
    drive = Drive(engines)
    drive.run(20_000, small=1, large=1)
    drive.engines['e1'] = make_engine('e1', [])
    drive.run(120_000, small=1, large=1)
    assert drive.engines['e1'].loaded == BOTH


def test_engine_that_takes_no_orders_is_asked_ever_less(pair):
    """An engine answers every order with a refusal, and a model has no copy.

    Asked every 30 s it would use up the rate of the weight store, and the audit
    trail would get 1,200 records in ten hours.
    """
    drive = Drive([*pair, make_engine('e3', [], allowed=['large'])])
    drive.engines['e1'] = pair[0]._replace(allowed=frozenset({'small'}))
    drive.engines['e2'] = pair[1]._replace(allowed=frozenset({'small'}))
    drive.obeys = False
    orders = []
    for _ in range(2 * 3_600):
        given = drive.run(5_000, large=3)
        orders += given
        for order in given:
            drive.planner.order_refused(order.endpoint, order.target, drive.now_ms)
    assert 10 <= len(orders) <= 20
