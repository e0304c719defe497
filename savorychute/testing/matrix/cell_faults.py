"""The faults of the matrix, applied to the targets of its probe."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.registry import Registry
from savorychute.testing.faults import FaultStep

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.testing.matrix.probe import Probe
    from savorychute.testing.simulation import Simulation

CELL_FAULTS: Registry[Callable[[FaultTargets], list[FaultStep]]] = Registry(
    'matrix fault'
)


class FaultTargets(NamedTuple):
    """The targets of a fault: the instance and the endpoint of the probe."""

    instance: str
    other_instance: str
    endpoint: str
    domain: str


def find_targets(simulation: Simulation, probe: Probe) -> FaultTargets:
    """Return the targets of the probe, or the first ones if it has none yet."""
    serving = [host for host in simulation.instances.values() if host.is_serving]
    probe_host = simulation.instances.get(probe.instance) or serving[0]
    other_hosts = [host for host in serving if host is not probe_host]
    endpoint = probe.endpoint or next(iter(simulation.endpoints))
    return FaultTargets(
        probe_host.name,
        other_hosts[0].name if other_hosts else probe_host.name,
        endpoint,
        probe_host.failure_domain,
    )


@CELL_FAULTS.register('burst')
def _burst(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='burst', class_name='tier:0', count=60, for_ms=200)]


@CELL_FAULTS.register('straggler')
def _straggler(targets: FaultTargets) -> list[FaultStep]:
    target = _find_engine_name(targets)
    return [FaultStep(do='engine-straggles', target=target, factor=8, for_ms=4_000)]


@CELL_FAULTS.register('endpoint-crash')
def _endpoint_crash(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='endpoint-crashes', target=targets.endpoint, for_ms=2_000)]


@CELL_FAULTS.register('endpoint-silent')
def _endpoint_silent(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='endpoint-silent', target=targets.endpoint, for_ms=4_000)]


@CELL_FAULTS.register('crossed-answers')
def _crossed_answers(targets: FaultTargets) -> list[FaultStep]:
    """Let an abandoned answer arrive in addition to that of a later attempt.

    The endpoint is unresponsive until the instance abandons the attempt.
    """
    return [
        FaultStep(do='cancels-late', delay_ms=5_000, for_ms=12_000),
        FaultStep(do='endpoint-silent', target=targets.endpoint, for_ms=3_500),
    ]


@CELL_FAULTS.register('endpoint-refuses')
def _endpoint_refuses(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='endpoint-refuses', target=targets.endpoint, for_ms=3_000)]


@CELL_FAULTS.register('endpoint-drained')
def _endpoint_drained(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='drain', target=targets.endpoint)]


@CELL_FAULTS.register('endpoint-leaves')
def _endpoint_leaves(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='endpoint-leaves', target=targets.endpoint)]


@CELL_FAULTS.register('reports-lag')
def _reports_lag(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='reports-lag', delay_ms=2_000, for_ms=5_000)]


@CELL_FAULTS.register('log-down')
def _log_down(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='log-down', for_ms=4_000)]


@CELL_FAULTS.register('log-slow')
def _log_slow(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='log-slow', delay_ms=1_500, for_ms=5_000)]


@CELL_FAULTS.register('append-reply-lost')
def _append_reply_lost(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='append-reply-lost', count=3)]


@CELL_FAULTS.register('lease-lapse-in-pause')
def _lease_lapse_in_pause(targets: FaultTargets) -> list[FaultStep]:
    """Pause an instance for longer than any lease, credit or suspicion lasts."""
    return [FaultStep(do='instance-pauses', target=targets.instance, for_ms=15_000)]


@CELL_FAULTS.register('racing-operators')
def _racing_operators(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='operators-race')]


@CELL_FAULTS.register('poison')
def _poison(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [
        FaultStep(do='poison', class_name='tier:0', count=3, delay_ms=700),
        FaultStep(do='restart-crashed', ms=1_500),
        FaultStep(do='restart-crashed', ms=4_000),
        FaultStep(do='restart-crashed', ms=12_000),
    ]


@CELL_FAULTS.register('instance-crash')
def _instance_crash(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='instance-crashes', target=targets.instance, for_ms=1_000)]


@CELL_FAULTS.register('instance-restart')
def _instance_restart(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='instance-restarts', target=targets.instance, for_ms=300)]


@CELL_FAULTS.register('other-instance-crash')
def _other_instance_crash(targets: FaultTargets) -> list[FaultStep]:
    return [
        FaultStep(do='instance-crashes', target=targets.other_instance, for_ms=1_000)
    ]


@CELL_FAULTS.register('instance-pause')
def _instance_pause(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='instance-pauses', target=targets.instance, for_ms=1_500)]


@CELL_FAULTS.register('instance-leaves')
def _instance_leaves(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='instance-leaves', target=targets.instance)]


@CELL_FAULTS.register('messages-lost')
def _messages_lost(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='messages-lost', share=0.5, for_ms=4_000)]


@CELL_FAULTS.register('messages-duplicated')
def _messages_duplicated(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='messages-duplicated', share=1, delay_ms=50, for_ms=4_000)]


@CELL_FAULTS.register('messages-reordered')
def _messages_reordered(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='messages-reordered', delay_ms=300, for_ms=4_000)]


@CELL_FAULTS.register('messages-delayed')
def _messages_delayed(targets: FaultTargets) -> list[FaultStep]:
    del targets
    return [FaultStep(do='messages-delayed', delay_ms=600, for_ms=4_000)]


@CELL_FAULTS.register('domains-cut')
def _domains_cut(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='domains-cut', target=targets.domain, for_ms=4_000)]


@CELL_FAULTS.register('domains-cut-one-way')
def _domains_cut_one_way(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='domains-cut-one-way', target=targets.domain, for_ms=4_000)]


@CELL_FAULTS.register('clock-jump')
def _clock_jump(targets: FaultTargets) -> list[FaultStep]:
    return [FaultStep(do='clock-jumps', target=targets.instance, delay_ms=4_000)]


@CELL_FAULTS.register('clock-jump-past-deadline')
def _clock_jump_past_deadline(targets: FaultTargets) -> list[FaultStep]:
    """Move the clock past every deadline; work may expire if reported correctly."""
    return [FaultStep(do='clock-jumps', target=targets.instance, delay_ms=60_000)]


def _find_engine_name(targets: FaultTargets) -> str:
    """Return the endpoint if it is an engine, else the first engine."""
    return targets.endpoint if targets.endpoint.startswith('engine') else ''
