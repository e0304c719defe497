"""The registry of faults and commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.errors import ScenarioError
from savorychute.registry import Registry
from savorychute.testing.engine_host import EngineHost
from savorychute.testing.service_host import ServiceHost

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.testing.call import CallClass
    from savorychute.testing.endpoint_host import EndpointHost
    from savorychute.testing.faults.fault_step import FaultStep
    from savorychute.testing.instance_host import InstanceHost
    from savorychute.testing.simulation import Simulation
    from savorychute.testing.topology import Topology
    from savorychute.testing.workload import Workload

HOME_PREFIX = 'home-of:'
TIER_PREFIX = 'tier:'
MOST_DEMANDED = 'most-demanded'


class FaultContext(NamedTuple):
    """The simulation and workload that a fault acts on."""

    simulation: Simulation
    workload: Workload


FAULTS: Registry[Callable[[FaultContext, FaultStep], None]] = Registry(
    'fault or command'
)


def find_endpoint(simulation: Simulation, name: str) -> EndpointHost:
    """Return an endpoint; the first engine if *name* is empty.

    :raises ScenarioError: if there is no endpoint of that name.
    """
    if not name:
        return find_engine(simulation, name)
    if name not in simulation.endpoints:
        raise ScenarioError(f'no endpoint {name!r}')
    return simulation.endpoints[name]


def find_engine(simulation: Simulation, name: str) -> EngineHost:
    """Return an engine; the first if *name* is empty.

    :raises ScenarioError: if it does not exist.
    """
    for host in simulation.endpoints.values():
        if isinstance(host, EngineHost) and name in ('', host.name):
            return host
    raise ScenarioError(f'no engine {name!r}')


def find_service(simulation: Simulation, name: str) -> ServiceHost:
    """Return a plain service; the first if *name* is empty.

    :raises ScenarioError: if it does not exist.
    """
    for host in simulation.endpoints.values():
        if isinstance(host, ServiceHost) and name in ('', host.name):
            return host
    raise ScenarioError(f'no service {name!r}')


def find_instance(simulation: Simulation, name: str) -> InstanceHost:
    """Return an instance; the first serving one if *name* is empty.

    ``home-of:<endpoint>`` is the home instance of the endpoint.

    :raises ScenarioError: if it does not exist.
    """
    if name.startswith(HOME_PREFIX):
        return find_home(simulation, name.removeprefix(HOME_PREFIX))
    for host in simulation.instances.values():
        if name == host.name or (not name and host.is_serving):
            return host
    raise ScenarioError(f'no instance {name!r}')


def find_home(simulation: Simulation, endpoint: str) -> InstanceHost:
    """Return the home instance of an endpoint.

    :raises ScenarioError: if no instance considers itself the home.
    """
    for host in simulation.instances.values():
        if host.is_serving and host.is_home_of(endpoint):
            return host
    raise ScenarioError(f'no instance is home of {endpoint!r}')


def find_class(topology: Topology, name: str) -> CallClass:
    """Return a class by name, ``tier:<number>`` or ``most-demanded``.

    :raises ScenarioError: if there is no such class.
    """
    model_classes = [
        call_class for call_class in topology.classes if not call_class.service
    ]
    if name in ('', MOST_DEMANDED):
        return max(model_classes, key=lambda call_class: call_class.demand)
    for call_class in topology.classes:
        if name in (call_class.name, f'{TIER_PREFIX}{call_class.tier}'):
            return call_class
    raise ScenarioError(f'no class {name!r} in {topology.name}')
