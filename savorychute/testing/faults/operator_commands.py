"""Commands of operators, including concurrent ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.errors import ScenarioError
from savorychute.testing.faults.registry import FAULTS, FaultContext, find_endpoint

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep
    from savorychute.testing.simulation import Simulation


@FAULTS.register('drain')
def drain(context: FaultContext, step: FaultStep) -> None:
    """Drain an endpoint."""
    context.simulation.drain(find_endpoint(context.simulation, step.target).name)


@FAULTS.register('amend')
def amend(context: FaultContext, step: FaultStep) -> None:
    """Multiply the permitted request rate of an organisation by *factor*."""
    propose_rate(context.simulation, step.target, step.factor, '')


@FAULTS.register('operators-race')
def race(context: FaultContext, step: FaultStep) -> None:
    """Let two operators change one contract at two instances concurrently."""
    simulation = context.simulation
    serving = [host.name for host in simulation.instances.values() if host.is_serving]
    for number, instance in enumerate((serving[0], serving[-1])):
        propose_rate(simulation, step.target, 1.0 + 0.1 * (number + 1), instance)


def propose_rate(
    simulation: Simulation, organisation: str, factor: float, instance: str
) -> str:
    """Propose a contract with a changed rate, based on the version in force."""
    organisation = organisation or simulation.topology.contracts[0]['organisation']
    if organisation not in simulation.documents:
        raise ScenarioError(f'no organisation {organisation!r}')
    document: dict[str, Any] = dict(simulation.documents[organisation])
    document['requests_per_s'] = round(document['requests_per_s'] * factor, 3)
    simulation.documents[organisation] = document
    host = (
        simulation.instances[instance]
        if instance
        else simulation.find_serving_instance()
    )
    arguments = {
        'organisation': organisation,
        'base_version': host.versions().get(f'contract:{organisation}', 0),
        'document': document,
        'why': 'rate',
    }
    return simulation.command('contract-amend', arguments, host.name)
