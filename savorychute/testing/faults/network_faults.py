"""Faults of the network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, Stage
from savorychute.testing.network import NO_PEER_FAULTS, PeerFaults

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep
    from savorychute.testing.world import World


@FAULTS.register('messages-lost')
def lose(stage: Stage, step: FaultStep) -> None:
    """Lose a share of the messages between instances."""
    _set_faults(stage.world, PeerFaults(loss_share=step.share), step.for_ms)


@FAULTS.register('messages-duplicated')
def duplicate(stage: Stage, step: FaultStep) -> None:
    """Deliver a share of the messages between instances twice."""
    faults = PeerFaults(duplicate_share=step.share, reorder_ms=step.delay_ms)
    _set_faults(stage.world, faults, step.for_ms)


@FAULTS.register('messages-reordered')
def reorder(stage: Stage, step: FaultStep) -> None:
    """Hold each message between instances back by up to *delay_ms*."""
    _set_faults(stage.world, PeerFaults(reorder_ms=step.delay_ms), step.for_ms)


@FAULTS.register('messages-delayed')
def delay(stage: Stage, step: FaultStep) -> None:
    """Delay all messages between instances by *delay_ms*."""
    _set_faults(stage.world, PeerFaults(delay_ms=step.delay_ms), step.for_ms)


@FAULTS.register('domains-cut')
def cut(stage: Stage, step: FaultStep) -> None:
    """Cut a failure domain off from another, or from all others."""
    world = stage.world
    for source, target in _pairs(world, step):
        world.network.cut(source, target)
        world.network.cut(target, source)
    _heal_later(world, step)


@FAULTS.register('domains-cut-one-way')
def cut_one_way(stage: Stage, step: FaultStep) -> None:
    """Let nothing pass out of a failure domain, while everything comes in."""
    world = stage.world
    for source, target in _pairs(world, step):
        world.network.cut(source, target)
    _heal_later(world, step)


@FAULTS.register('cancels-late')
def delay_cancels(stage: Stage, step: FaultStep) -> None:
    """Let cancels take *delay_ms*, while given-up answers still arrive."""
    network = stage.world.network
    network.cancel_delay_ms = step.delay_ms

    def end() -> None:
        network.cancel_delay_ms = 0.0

    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, end)


def _set_faults(world: World, faults: PeerFaults, for_ms: float) -> None:
    world.network.peer_faults = faults

    def end() -> None:
        if world.network.peer_faults is faults:
            world.network.peer_faults = NO_PEER_FAULTS
            world.note_reachable()

    if for_ms:
        world.heap.call_later(for_ms, end)


def _pairs(world: World, step: FaultStep) -> list[tuple[str, str]]:
    domains = list(dict.fromkeys(world.topology.instance_domains))
    source = step.target or domains[-1]
    targets = [step.to] if step.to else [each for each in domains if each != source]
    return [(source, target) for target in targets]


def _heal_later(world: World, step: FaultStep) -> None:
    def heal() -> None:
        world.network.heal()
        world.note_reachable()

    world.note_unreachable()
    if step.for_ms:
        world.heap.call_later(step.for_ms, heal)
