"""Faults of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.engine_host import EngineHost
from savorychute.testing.faults.registry import (
    FAULTS,
    FaultContext,
    find_endpoint,
    find_engine,
    find_service,
)

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep


@FAULTS.register('engine-straggles')
def straggle(context: FaultContext, step: FaultStep) -> None:
    """Multiply the duration of an engine's steps by *factor*."""
    engine = find_engine(context.simulation, step.target)
    engine.set_slowdown(step.factor)
    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, engine.set_slowdown, 1.0)


@FAULTS.register('endpoint-crashes')
def crash_endpoint(context: FaultContext, step: FaultStep) -> None:
    """Crash an endpoint; it restarts after *for_ms*."""
    endpoint = find_endpoint(context.simulation, step.target)
    endpoint.crash()
    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, endpoint.restart)


@FAULTS.register('service-crashes')
def crash_service(context: FaultContext, step: FaultStep) -> None:
    """Crash a plain service; it restarts after *for_ms*."""
    service = find_service(context.simulation, step.target)
    service.crash()
    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, service.restart)


@FAULTS.register('endpoint-silent')
def silence(context: FaultContext, step: FaultStep) -> None:
    """Make an endpoint unresponsive: it accepts work and sends nothing."""
    endpoint = find_endpoint(context.simulation, step.target)
    endpoint.set_unresponsive(True)
    if step.for_ms:
        context.simulation.heap.call_later(
            step.for_ms, endpoint.set_unresponsive, False
        )


@FAULTS.register('endpoint-refuses')
def refuse(context: FaultContext, step: FaultStep) -> None:
    """Let an endpoint refuse all work and state that nothing ran."""
    core = find_endpoint(context.simulation, step.target).core
    core.refusing = True

    def accept() -> None:
        core.refusing = False

    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, accept)


@FAULTS.register('reports-lag')
def lag_reports(context: FaultContext, step: FaultStep) -> None:
    """Delay the load reports of all engines by *delay_ms*."""
    engines = [
        host
        for host in context.simulation.endpoints.values()
        if isinstance(host, EngineHost)
    ]
    previous_lags_ms = [host.engine.reports.lag_ms for host in engines]

    def set_lags(lags_ms: list[float]) -> None:
        for host, lag_ms in zip(engines, lags_ms, strict=True):
            host.engine.reports.lag_ms = lag_ms

    set_lags([step.delay_ms] * len(engines))
    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, set_lags, previous_lags_ms)


@FAULTS.register('endpoint-leaves')
def leave(context: FaultContext, step: FaultStep) -> None:
    """Let an endpoint leave: it refuses work and is listed as leaving."""
    context.simulation.leave(find_endpoint(context.simulation, step.target).name)


@FAULTS.register('restart-crashed')
def restart_crashed(context: FaultContext, step: FaultStep) -> None:
    """Restart every endpoint that is down."""
    del step
    for endpoint in context.simulation.endpoints.values():
        if not endpoint.core.is_up:
            endpoint.restart()
