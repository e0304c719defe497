"""Faults of the network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, FaultContext
from savorychute.testing.network import NO_PEER_FAULTS, PeerFaults

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep
    from savorychute.testing.simulation import Simulation


@FAULTS.register('messages-lost')
def lose(context: FaultContext, step: FaultStep) -> None:
    """Lose a share of the messages between instances."""
    _set_faults(context.simulation, PeerFaults(loss_share=step.share), step.for_ms)


@FAULTS.register('messages-duplicated')
def duplicate(context: FaultContext, step: FaultStep) -> None:
    """Deliver a share of the messages between instances twice."""
    faults = PeerFaults(duplicate_share=step.share, reorder_ms=step.delay_ms)
    _set_faults(context.simulation, faults, step.for_ms)


@FAULTS.register('messages-reordered')
def reorder(context: FaultContext, step: FaultStep) -> None:
    """Delay each message between instances by a random time of up to *delay_ms*."""
    _set_faults(context.simulation, PeerFaults(reorder_ms=step.delay_ms), step.for_ms)


@FAULTS.register('messages-delayed')
def delay(context: FaultContext, step: FaultStep) -> None:
    """Delay all messages between instances by *delay_ms*."""
    _set_faults(context.simulation, PeerFaults(delay_ms=step.delay_ms), step.for_ms)


@FAULTS.register('domains-cut')
def cut(context: FaultContext, step: FaultStep) -> None:
    """Separate a failure domain from another or all others by a network partition."""
    simulation = context.simulation
    for source, target in _list_domain_pairs(simulation, step):
        simulation.network.cut(source, target)
        simulation.network.cut(target, source)
    _heal_later(simulation, step)


@FAULTS.register('domains-cut-one-way')
def cut_one_way(context: FaultContext, step: FaultStep) -> None:
    """Block all traffic out of a failure domain, but not into it."""
    simulation = context.simulation
    for source, target in _list_domain_pairs(simulation, step):
        simulation.network.cut(source, target)
    _heal_later(simulation, step)


@FAULTS.register('cancels-late')
def delay_cancels(context: FaultContext, step: FaultStep) -> None:
    """Delay cancellations by *delay_ms*; abandoned answers still arrive."""
    network = context.simulation.network
    network.cancel_delay_ms = step.delay_ms

    def end() -> None:
        network.cancel_delay_ms = 0.0

    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, end)


def _set_faults(simulation: Simulation, faults: PeerFaults, for_ms: float) -> None:
    simulation.network.peer_faults = faults

    def end() -> None:
        if simulation.network.peer_faults is faults:
            simulation.network.peer_faults = NO_PEER_FAULTS
            simulation.mark_reachable()

    if for_ms:
        simulation.heap.call_later(for_ms, end)


def _list_domain_pairs(
    simulation: Simulation, step: FaultStep
) -> list[tuple[str, str]]:
    domains = list(dict.fromkeys(simulation.topology.instance_domains))
    source = step.target or domains[-1]
    targets = [step.to] if step.to else [each for each in domains if each != source]
    return [(source, target) for target in targets]


def _heal_later(simulation: Simulation, step: FaultStep) -> None:
    def heal() -> None:
        simulation.network.heal()
        simulation.mark_reachable()

    simulation.mark_unreachable()
    if step.for_ms:
        simulation.heap.call_later(step.for_ms, heal)
