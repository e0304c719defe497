"""Tests of model placement by a complete system on a virtual clock."""

from __future__ import annotations

import pytest

from savorychute.actions import SendOrder
from savorychute.audit.audit_kind import AuditKind
from savorychute.instance import InstanceSettings
from savorychute.leases.order_request import LOAD, UNLOAD
from savorychute.placement import PlacementSettings
from savorychute.testing.order_handler import EngineOrder
from savorychute.testing.profiles import build_small
from savorychute.testing.simulation_factory import make_simulation
from savorychute.testing.workload import Workload

MODELS = ['model', 'large']
LOADED_MODELS = {'engine-1': 'model', 'engine-2': 'model', 'engine-3': 'large'}
SETTINGS = InstanceSettings(
    placement=PlacementSettings(
        warm_up_ms=10_000,
        half_life_ms=3_000,
        min_dwell_ms=15_000,
        loads_per_min=60.0,
    )
)
RATE_PER_S = 4.0
TAKEOVER_MS = 70_000


def build_topology():
    """Return three engines that can serve two models and have loaded one each."""
    small = build_small()
    engines = tuple(
        spec._replace(
            document={**spec.document, 'models': MODELS},
            settings=spec.settings._replace(
                models=(LOADED_MODELS[spec.settings.name],)
            ),
        )
        for spec in small.engines
    )
    contracts = tuple({**contract, 'models': MODELS} for contract in small.contracts)
    return small._replace(engines=engines, contracts=contracts)


class PlacementFixture:
    """A configured system whose orders are collected."""

    def __init__(self):
        self.simulation = make_simulation(build_topology(), 1, SETTINGS)
        self.orders = []
        for host in self.simulation.instances.values():
            host.instance.events.connect('order-sent', self.orders.append)
        self.simulation.configure()

    def generate_requests(self, model, duration_ms):
        """Generate requests for a model for a while."""
        self.simulation.model = model
        workload = Workload(self.simulation, self.simulation.make_rng(f'load {model}'))
        urgent = self.simulation.topology.classes[0]
        now_ms = self.simulation.heap.now_ms
        workload.run_class(urgent, now_ms, now_ms + duration_ms, lambda _: RATE_PER_S)
        self.simulation.run_for(duration_ms)

    def loaded_models(self, endpoint):
        """Return the models that an engine has loaded."""
        engine = self.simulation.endpoints[endpoint].engine
        return engine.orders.models(self.simulation.heap.now_ms)

    def find_holder(self):
        """Return the instance that holds the region's lease."""
        for host in self.simulation.instances.values():
            if host.instance._periodic_tasks._lease_handler.holds(host.now_ms()):
                return host
        return None


@pytest.fixture
def fixture():
    return PlacementFixture()


def read_audit(host):
    """Return the audited orders of an instance: item, change and reason."""
    entries = [recorded.entry for recorded in host.instance._parts.audit._recorded]
    orders = [entry for entry in entries if entry.kind is AuditKind.ORDER]
    return [(entry.item, entry.to_version, entry.why) for entry in orders]


def test_model_is_loaded_in_a_second_domain_on_demand(fixture):
    """Guards against replicas that stay in one failure domain.

    All callers change to another model, which only one engine has loaded.  The
    holder of the lease unloads a model in the other domain and loads the new one
    there once the free capacity is reported.
    """
    fixture.generate_requests('model', 20_000)
    assert fixture.orders == []

    fixture.generate_requests('large', 40_000)

    changes = [(order.endpoint, order.verb, order.target) for order in fixture.orders]
    assert changes == [('engine-2', UNLOAD, 'model'), ('engine-2', LOAD, 'large')]
    assert fixture.loaded_models('engine-2') == ('large',)
    assert fixture.loaded_models('engine-1') == ('model',)
    assert fixture.simulation.weight_store.loads == 1
    first, second = read_audit(fixture.find_holder())
    assert first[:2] == ('endpoint:engine-2', 'unload model: done')
    assert first[2].startswith('room for large: all copies in one failure domain')
    assert second[:2] == ('endpoint:engine-2', 'load large: done')
    assert not fixture.simulation.ledger.defects


def test_late_order_of_a_paused_holder_is_fenced(fixture):
    """Guards against an order that is applied after its lease has expired.

    The holder is paused while an order is in flight, and its lease expires.
    Another instance acquires the lease and changes the same engine.  Then the
    old order arrives.  The engine checks fencing numbers and refuses it.
    """
    fixture.generate_requests('model', 20_000)
    holder = fixture.find_holder()
    late_orders = []
    holder._action_handlers[SendOrder] = late_orders.append
    fixture.generate_requests('large', 20_000)
    assert [order.verb for order in late_orders] == [UNLOAD]
    holder.pause()

    fixture.generate_requests('large', TAKEOVER_MS)
    successor = fixture.find_holder()
    assert successor is not None
    assert successor is not holder
    assert fixture.loaded_models('engine-2') == ('large',)

    order = EngineOrder(*late_orders[0][4:8])
    engine = fixture.simulation.endpoints['engine-2'].engine
    assert engine.order(order, fixture.simulation.heap.now_ms) == 'fenced'
    holder.wake()
    fixture.simulation.run_for(2_000)

    assert fixture.loaded_models('engine-2') == ('large',)
    assert len(late_orders) == 1
    assert read_audit(holder)[-1][1] == 'unload model: unknown'
