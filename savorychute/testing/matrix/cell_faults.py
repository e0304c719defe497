"""The faults of the matrix, aimed at what its probe is about."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.registry import Registry
from savorychute.testing.faults import FaultStep

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.testing.matrix.probe import Probe
    from savorychute.testing.world import World

CELL_FAULTS: Registry[Callable[[Aim], list[FaultStep]]] = Registry('matrix fault')


class Aim(NamedTuple):
    """What a fault is aimed at: the probe's instance and endpoint."""

    instance: str
    other_instance: str
    endpoint: str
    domain: str


def take_aim(world: World, probe: Probe) -> Aim:
    """Return what the probe is at, or the first of its kind."""
    serving = [host for host in world.instances.values() if host.is_serving]
    own = world.instances.get(probe.instance) or serving[0]
    others = [host for host in serving if host is not own]
    endpoint = probe.endpoint or next(iter(world.endpoints))
    return Aim(
        own.name,
        others[0].name if others else own.name,
        endpoint,
        own.failure_domain,
    )


@CELL_FAULTS.register('burst')
def _burst(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='burst', class_name='tier:0', count=60, for_ms=200)]


@CELL_FAULTS.register('straggler')
def _straggler(aim: Aim) -> list[FaultStep]:
    target = _engine_of(aim)
    return [FaultStep(do='engine-straggles', target=target, factor=8, for_ms=4_000)]


@CELL_FAULTS.register('endpoint-crash')
def _endpoint_crash(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='endpoint-crashes', target=aim.endpoint, for_ms=2_000)]


@CELL_FAULTS.register('endpoint-silent')
def _endpoint_silent(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='endpoint-silent', target=aim.endpoint, for_ms=4_000)]


@CELL_FAULTS.register('crossed-answers')
def _crossed_answers(aim: Aim) -> list[FaultStep]:
    """Hang the endpoint until it is given up; its answer then comes as well."""
    return [
        FaultStep(do='cancels-late', delay_ms=5_000, for_ms=12_000),
        FaultStep(do='endpoint-silent', target=aim.endpoint, for_ms=3_500),
    ]


@CELL_FAULTS.register('endpoint-refuses')
def _endpoint_refuses(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='endpoint-refuses', target=aim.endpoint, for_ms=3_000)]


@CELL_FAULTS.register('endpoint-drained')
def _endpoint_drained(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='drain', target=aim.endpoint)]


@CELL_FAULTS.register('endpoint-leaves')
def _endpoint_leaves(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='endpoint-leaves', target=aim.endpoint)]


@CELL_FAULTS.register('reports-lag')
def _reports_lag(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='reports-lag', delay_ms=2_000, for_ms=5_000)]


@CELL_FAULTS.register('log-down')
def _log_down(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='log-down', for_ms=4_000)]


@CELL_FAULTS.register('log-slow')
def _log_slow(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='log-slow', delay_ms=1_500, for_ms=5_000)]


@CELL_FAULTS.register('append-reply-lost')
def _append_reply_lost(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='append-reply-lost', count=3)]


@CELL_FAULTS.register('lease-lapse-in-pause')
def _lease_lapse(aim: Aim) -> list[FaultStep]:
    """Pause an instance for longer than any lease, credit or suspicion."""
    return [FaultStep(do='instance-pauses', target=aim.instance, for_ms=15_000)]


@CELL_FAULTS.register('racing-operators')
def _racing_operators(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='operators-race')]


@CELL_FAULTS.register('poison')
def _poison(aim: Aim) -> list[FaultStep]:
    del aim
    return [
        FaultStep(do='poison', class_name='tier:0', count=3, delay_ms=700),
        FaultStep(do='restart-crashed', ms=1_500),
        FaultStep(do='restart-crashed', ms=4_000),
        FaultStep(do='restart-crashed', ms=12_000),
    ]


@CELL_FAULTS.register('instance-crash')
def _instance_crash(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='instance-crashes', target=aim.instance, for_ms=1_000)]


@CELL_FAULTS.register('instance-restart')
def _instance_restart(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='instance-restarts', target=aim.instance, for_ms=300)]


@CELL_FAULTS.register('other-instance-crash')
def _other_instance_crash(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='instance-crashes', target=aim.other_instance, for_ms=1_000)]


@CELL_FAULTS.register('instance-pause')
def _instance_pause(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='instance-pauses', target=aim.instance, for_ms=1_500)]


@CELL_FAULTS.register('instance-leaves')
def _instance_leaves(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='instance-leaves', target=aim.instance)]


@CELL_FAULTS.register('messages-lost')
def _messages_lost(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='messages-lost', share=0.5, for_ms=4_000)]


@CELL_FAULTS.register('messages-duplicated')
def _messages_duplicated(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='messages-duplicated', share=1, delay_ms=50, for_ms=4_000)]


@CELL_FAULTS.register('messages-reordered')
def _messages_reordered(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='messages-reordered', delay_ms=300, for_ms=4_000)]


@CELL_FAULTS.register('messages-delayed')
def _messages_delayed(aim: Aim) -> list[FaultStep]:
    del aim
    return [FaultStep(do='messages-delayed', delay_ms=600, for_ms=4_000)]


@CELL_FAULTS.register('domains-cut')
def _domains_cut(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='domains-cut', target=aim.domain, for_ms=4_000)]


@CELL_FAULTS.register('domains-cut-one-way')
def _domains_cut_one_way(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='domains-cut-one-way', target=aim.domain, for_ms=4_000)]


@CELL_FAULTS.register('clock-jump')
def _clock_jump(aim: Aim) -> list[FaultStep]:
    return [FaultStep(do='clock-jumps', target=aim.instance, delay_ms=4_000)]


@CELL_FAULTS.register('clock-jump-past-deadline')
def _clock_jump_far(aim: Aim) -> list[FaultStep]:
    """Jump past every deadline: work may end as too late, but truthfully."""
    return [FaultStep(do='clock-jumps', target=aim.instance, delay_ms=60_000)]


def _engine_of(aim: Aim) -> str:
    """Return the endpoint if it is an engine, else the first engine."""
    return aim.endpoint if aim.endpoint.startswith('engine') else ''
