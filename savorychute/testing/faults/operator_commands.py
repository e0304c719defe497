"""What operators do, alone and against one another."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.errors import ScenarioError
from savorychute.testing.faults.registry import FAULTS, Stage, find_endpoint

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep
    from savorychute.testing.world import World


@FAULTS.register('drain')
def drain(stage: Stage, step: FaultStep) -> None:
    """Drain an endpoint."""
    stage.world.drain(find_endpoint(stage.world, step.target).name)


@FAULTS.register('amend')
def amend(stage: Stage, step: FaultStep) -> None:
    """Multiply an organisation's permitted rate by *factor*."""
    propose_rate(stage.world, step.target, step.factor, '')


@FAULTS.register('operators-race')
def race(stage: Stage, step: FaultStep) -> None:
    """Let two operators change one contract at two instances at once."""
    world = stage.world
    serving = [host.name for host in world.instances.values() if host.is_serving]
    for number, instance in enumerate((serving[0], serving[-1])):
        propose_rate(world, step.target, 1.0 + 0.1 * (number + 1), instance)


def propose_rate(world: World, organisation: str, factor: float, instance: str) -> str:
    """Propose a contract with another rate, from the version in force there."""
    organisation = organisation or world.topology.contracts[0]['organisation']
    if organisation not in world.documents:
        raise ScenarioError(f'no organisation {organisation!r}')
    document: dict[str, Any] = dict(world.documents[organisation])
    document['requests_per_s'] = round(document['requests_per_s'] * factor, 3)
    world.documents[organisation] = document
    host = world.instances[instance] if instance else world.first_serving()
    arguments = {
        'organisation': organisation,
        'base_version': host.versions().get(f'contract:{organisation}', 0),
        'document': document,
        'why': 'rate',
    }
    return world.command('contract-amend', arguments, host.name)
