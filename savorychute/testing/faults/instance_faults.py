"""Faults and replacement of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, FaultContext, find_instance

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep

RESTART_DELAY_MS = 1_000.0
REPLACEMENT_READY_MS = 10_000.0


@FAULTS.register('instance-crashes')
def crash(context: FaultContext, step: FaultStep) -> None:
    """Crash an instance; a new one replaces it after *for_ms*."""
    simulation = context.simulation
    host = find_instance(simulation, step.target)
    host.crash()
    if step.for_ms:
        domain = host.failure_domain
        simulation.heap.call_later(
            step.for_ms, simulation.replace_instance, host, domain
        )


@FAULTS.register('instance-restarts')
def restart(context: FaultContext, step: FaultStep) -> None:
    """Crash an instance and restart it under the same name."""
    simulation = context.simulation
    host = find_instance(simulation, step.target)
    host.crash()
    delay_ms = step.for_ms or RESTART_DELAY_MS
    simulation.heap.call_later(
        delay_ms, simulation.start_instance, host.failure_domain, host.name
    )


@FAULTS.register('instance-pauses')
def pause(context: FaultContext, step: FaultStep) -> None:
    """Pause an instance for *for_ms*, without its noticing."""
    host = find_instance(context.simulation, step.target)
    host.pause()
    context.simulation.heap.call_later(
        3_000.0, context.simulation.callers.handle_pause, host
    )
    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, host.wake)


@FAULTS.register('clock-jumps')
def jump_clock(context: FaultContext, step: FaultStep) -> None:
    """Move an instance's clock forward by *delay_ms*."""
    find_instance(context.simulation, step.target).jump_clock(step.delay_ms)


@FAULTS.register('instance-leaves')
def shut_down(context: FaultContext, step: FaultStep) -> None:
    """Shut an instance down gracefully; a new one replaces it."""
    simulation = context.simulation
    host = find_instance(simulation, step.target)
    simulation.start_instance(host.failure_domain)
    simulation.shut_down(host.name)


@FAULTS.register('instances-replaced')
def replace(context: FaultContext, step: FaultStep) -> None:
    """Replace *share* of the instances one by one within *for_ms*."""
    simulation = context.simulation
    names = [host.name for host in simulation.instances.values() if host.is_serving]
    chosen = names[: max(1, int(len(names) * step.share))]
    for number, name in enumerate(chosen):
        delay_ms = step.for_ms * number / len(chosen)
        domain = simulation.instances[name].failure_domain
        simulation.heap.call_later(delay_ms, simulation.start_instance, domain)
        simulation.heap.call_later(
            delay_ms + REPLACEMENT_READY_MS, simulation.shut_down, name
        )
