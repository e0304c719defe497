"""Tests of the placement of models by a whole system on a virtual clock."""

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
LOADED = {'engine-1': 'model', 'engine-2': 'model', 'engine-3': 'large'}
SETTINGS = InstanceSettings(
    placement=PlacementSettings(
        warm_up_ms=10_000,
        half_life_ms=3_000,
        min_dwell_ms=15_000,
        loads_per_min=60.0,
    )
)
RATE_PER_S = 4.0
LATE_MS = 70_000


def build_topology():
    """Return three engines that may serve two models and hold one each."""
    small = build_small()
    engines = tuple(
        spec._replace(
            document={**spec.document, 'models': MODELS},
            settings=spec.settings._replace(models=(LOADED[spec.settings.name],)),
        )
        for spec in small.engines
    )
    contracts = tuple({**each, 'models': MODELS} for each in small.contracts)
    return small._replace(engines=engines, contracts=contracts)


class Site:
    """A configured world whose orders are collected."""

    def __init__(self):
        self.world = make_simulation(build_topology(), 1, SETTINGS)
        self.orders = []
        for host in self.world.instances.values():
            host.instance.events.connect('order-sent', self.orders.append)
        self.world.configure()

    def call_for(self, model, duration_ms):
        """Let callers ask for a model for a while."""
        self.world.model = model
        load = Workload(self.world, self.world.make_rng(f'load {model}'))
        urgent = self.world.topology.classes[0]
        now_ms = self.world.heap.now_ms
        load.run_class(urgent, now_ms, now_ms + duration_ms, lambda _: RATE_PER_S)
        self.world.run_for(duration_ms)

    def models_of(self, endpoint):
        """Return what an engine has loaded."""
        engine = self.world.endpoints[endpoint].engine
        return engine.orders.models(self.world.heap.now_ms)

    def find_holder(self):
        """Return the instance that holds the region's lease."""
        for host in self.world.instances.values():
            if host.instance._housekeeping._lease_desk.holds(host.now_ms()):
                return host
        return None


@pytest.fixture
def site():
    return Site()


def read_audit(host):
    """Return what an instance noted of its orders: the change and the reason."""
    entries = [recorded.entry for recorded in host.instance._parts.audit._recorded]
    orders = [entry for entry in entries if entry.kind is AuditKind.ORDER]
    return [(entry.item, entry.to_version, entry.why) for entry in orders]


def test_model_follows_its_demand(site):
    """All callers change to another model, which one engine holds.

    Its copies would share a failure domain for ever; the lease's holder makes
    room in the other domain, and loads it there once the room is reported.
    """
    site.call_for('model', 20_000)
    assert site.orders == []

    site.call_for('large', 40_000)

    changes = [(order.endpoint, order.verb, order.target) for order in site.orders]
    assert changes == [('engine-2', UNLOAD, 'model'), ('engine-2', LOAD, 'large')]
    assert site.models_of('engine-2') == ('large',)
    assert site.models_of('engine-1') == ('model',)
    assert site.world.store.loads == 1
    first, second = read_audit(site.find_holder())
    assert first[:2] == ('endpoint:engine-2', 'unload model: done')
    assert first[2].startswith('room for large: all copies in one failure domain')
    assert second[:2] == ('endpoint:engine-2', 'load large: done')
    assert not site.world.ledger.defects


def test_late_order_of_a_paused_holder_is_refused(site):
    """The holder is paused with an order under way; its lease runs out.

    Another instance takes the lease over and changes the same engine.  Then the
    old order arrives.  The engine checks fencing numbers and refuses it.
    """
    site.call_for('model', 20_000)
    holder = site.find_holder()
    late = []
    holder._performers[SendOrder] = late.append
    site.call_for('large', 20_000)
    assert [order.verb for order in late] == [UNLOAD]
    holder.pause()

    site.call_for('large', LATE_MS)
    successor = site.find_holder()
    assert successor is not None
    assert successor is not holder
    assert site.models_of('engine-2') == ('large',)

    order = EngineOrder(*late[0][4:8])
    engine = site.world.endpoints['engine-2'].engine
    assert engine.order(order, site.world.heap.now_ms) == 'fenced'
    holder.wake()
    site.world.run_for(2_000)

    assert site.models_of('engine-2') == ('large',)
    assert len(late) == 1
    assert read_audit(holder)[-1][1] == 'unload model: unknown'
