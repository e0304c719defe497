"""Faults and replacements of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, Stage, find_instance

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep

REPLACEMENT_MS = 1_000.0
REPLACEMENT_READY_MS = 10_000.0


@FAULTS.register('instance-crashes')
def crash(stage: Stage, step: FaultStep) -> None:
    """End an instance at once; after *for_ms* a new one takes its place."""
    world = stage.world
    host = find_instance(world, step.target)
    host.crash()
    if step.for_ms:
        domain = host.failure_domain
        world.heap.call_later(step.for_ms, world.replace_instance, host, domain)


@FAULTS.register('instance-restarts')
def restart(stage: Stage, step: FaultStep) -> None:
    """End an instance and start it anew under the same name."""
    world = stage.world
    host = find_instance(world, step.target)
    host.crash()
    delay_ms = step.for_ms or REPLACEMENT_MS
    world.heap.call_later(
        delay_ms, world.start_instance, host.failure_domain, host.name
    )


@FAULTS.register('instance-pauses')
def pause(stage: Stage, step: FaultStep) -> None:
    """Stop an instance; it wakes after *for_ms* without knowing."""
    host = find_instance(stage.world, step.target)
    host.pause()
    stage.world.heap.call_later(3_000.0, stage.world.callers.notice_pause, host)
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, host.wake)


@FAULTS.register('clock-jumps')
def jump_clock(stage: Stage, step: FaultStep) -> None:
    """Let an instance's clock jump ahead by *delay_ms*."""
    find_instance(stage.world, step.target).jump_clock(step.delay_ms)


@FAULTS.register('instance-leaves')
def shut_down(stage: Stage, step: FaultStep) -> None:
    """Shut an instance down gracefully; a new one takes its place."""
    world = stage.world
    host = find_instance(world, step.target)
    world.start_instance(host.failure_domain)
    world.shut_down(host.name)


@FAULTS.register('instances-replaced')
def replace(stage: Stage, step: FaultStep) -> None:
    """Replace *share* of the instances one by one within *for_ms*."""
    world = stage.world
    names = [host.name for host in world.instances.values() if host.is_serving]
    chosen = names[: max(1, int(len(names) * step.share))]
    for number, name in enumerate(chosen):
        delay_ms = step.for_ms * number / len(chosen)
        domain = world.instances[name].failure_domain
        world.heap.call_later(delay_ms, world.start_instance, domain)
        world.heap.call_later(delay_ms + REPLACEMENT_READY_MS, world.shut_down, name)
