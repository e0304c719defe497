"""Faults of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.engine_host import EngineHost
from savorychute.testing.faults.registry import (
    FAULTS,
    Stage,
    find_endpoint,
    find_engine,
    find_service,
)

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep


@FAULTS.register('engine-straggles')
def straggle(stage: Stage, step: FaultStep) -> None:
    """Make an engine's steps *factor* times as long."""
    engine = find_engine(stage.world, step.target)
    engine.straggle(step.factor)
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, engine.straggle, 1.0)


@FAULTS.register('endpoint-crashes')
def crash_endpoint(stage: Stage, step: FaultStep) -> None:
    """Crash an endpoint; it comes up again after *for_ms*."""
    endpoint = find_endpoint(stage.world, step.target)
    endpoint.crash()
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, endpoint.restart)


@FAULTS.register('service-crashes')
def crash_service(stage: Stage, step: FaultStep) -> None:
    """Crash a plain service; it comes up again after *for_ms*."""
    service = find_service(stage.world, step.target)
    service.crash()
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, service.restart)


@FAULTS.register('endpoint-silent')
def silence(stage: Stage, step: FaultStep) -> None:
    """Let an endpoint accept work without a word."""
    endpoint = find_endpoint(stage.world, step.target)
    endpoint.set_silent(True)
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, endpoint.set_silent, False)


@FAULTS.register('endpoint-refuses')
def refuse(stage: Stage, step: FaultStep) -> None:
    """Let an endpoint refuse everything, and say that nothing ran."""
    core = find_endpoint(stage.world, step.target).core
    core.refusing = True

    def accept() -> None:
        core.refusing = False

    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, accept)


@FAULTS.register('reports-lag')
def lag_reports(stage: Stage, step: FaultStep) -> None:
    """Make the load reports of all engines *delay_ms* old."""
    engines = [
        host for host in stage.world.endpoints.values() if isinstance(host, EngineHost)
    ]
    usual_ms = [host.engine.reports.lag_ms for host in engines]

    def set_lags(lags_ms: list[float]) -> None:
        for host, lag_ms in zip(engines, lags_ms, strict=True):
            host.engine.reports.lag_ms = lag_ms

    set_lags([step.delay_ms] * len(engines))
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, set_lags, usual_ms)


@FAULTS.register('endpoint-leaves')
def leave(stage: Stage, step: FaultStep) -> None:
    """Let an endpoint go away: it refuses and the platform lists it so."""
    stage.world.leave(find_endpoint(stage.world, step.target).name)


@FAULTS.register('restart-crashed')
def restart_crashed(stage: Stage, step: FaultStep) -> None:
    """Bring every endpoint up again that is down."""
    del step
    for endpoint in stage.world.endpoints.values():
        if not endpoint.core.is_up:
            endpoint.restart()
