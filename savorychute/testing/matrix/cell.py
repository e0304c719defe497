"""One cell of the fault matrix."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, NamedTuple

from savorychute.result_code import ResultCode
from savorychute.testing.drive import make_world
from savorychute.testing.faults import FAULTS, Stage
from savorychute.testing.faults.operator_commands import propose_rate
from savorychute.testing.matrix import steps
from savorychute.testing.matrix.cell_faults import CELL_FAULTS, take_aim
from savorychute.testing.matrix.probe import Probe
from savorychute.testing.profiles import PROFILES
from savorychute.testing.promises import Breach, find_breaches
from savorychute.testing.scenario_run import run_until_idle
from savorychute.testing.workload import Workload
from savorychute.testing.world import EPOCH_MS

if TYPE_CHECKING:
    from savorychute.testing.call import CallClass
    from savorychute.testing.faults import FaultStep
    from savorychute.testing.world import World

AMENDMENT = 'amendment'
BOOKING = 'booking'
CLAIMED = 'claimed'
CALL_KINDS = (BOOKING, CLAIMED, 'clause', 'draft', 'audit')
KINDS = (*CALL_KINDS, AMENDMENT)

LOAD_MS = 3_000.0
LOAD_PER_S = 4.0
PROBE_AT_MS = 1_000.0
SECOND_FAULT_MS = 40.0
CROWD_CALLS = 60
RECOVERY_MS = 10_000.0
AFTERMATH_CALLS = 2
AFTERMATH_BEGINS_MS = 10.0
AFTERMATH_MS = 6_000.0
MOST_MS = 60_000.0

#: Work whose caller holds a handle is carried on whatever fails alone.
SURVIVING_KINDS = frozenset(('draft', 'audit'))

#: By the clock of the instance that has the work its deadline is over.
ENDS_DEADLINES = frozenset(('clock-jump-past-deadline',))


class Cell(NamedTuple):
    """Faults at a step of one kind of work; two faults come close together."""

    faults: tuple[str, ...]
    step: str
    kind: str
    seed: int = 1

    @property
    def name(self) -> str:
        """The cell as one word."""
        return f'{"+".join(self.faults)}@{self.step}/{self.kind}/{self.seed}'


class CellResult(NamedTuple):
    """What a cell's run showed; ``fired`` is false if the step was not reached."""

    cell: Cell
    fired: bool
    probe_ending: str
    breaches: tuple[Breach, ...]


def list_steps(kind: str) -> tuple[str, ...]:
    """Return the steps that a kind of work goes through."""
    if kind == AMENDMENT:
        return steps.AMENDMENT_STEPS
    if kind in (BOOKING, 'clause'):
        return steps.REQUEST_STEPS
    return tuple(step for step in steps.REQUEST_STEPS if step not in steps.KEY_STEPS)


def run_cell(cell: Cell) -> CellResult:
    """Run one cell: load, the probe, the faults at its step, and what follows.

    After the faults have passed and the system had time to recover, one call of
    each kind must be answered as if nothing had been.
    """
    world = make_world(PROFILES.get('small')(), cell.seed)
    world.configure()
    stage = Stage(world, Workload(world, world.make_rng('load')))
    _plan_load(stage)
    world.run_for(PROBE_AT_MS)
    probe = _begin_probe(stage, cell)
    run_until_idle(world, MOST_MS)
    world.run_for(max(0.0, world.last_fault_ms - world.heap.now_ms))
    world.run_for(RECOVERY_MS)
    breaches = [*_check_aftermath(stage)]
    run_until_idle(world, MOST_MS)
    breaches += find_breaches(world)
    ending, more = _judge_probe(world, cell, probe)
    breaches += more
    return CellResult(cell, probe.has_fired, ending, tuple(breaches))


def _plan_load(stage: Stage) -> None:
    topology = stage.world.topology
    begin_ms = stage.world.heap.now_ms
    rate = LOAD_PER_S / len(topology.classes)
    for each in topology.classes:
        stage.workload.run_class(each, begin_ms, begin_ms + LOAD_MS, lambda _: rate)


def _begin_probe(stage: Stage, cell: Cell) -> Probe:
    world = stage.world

    def fire(probe: Probe) -> None:
        aim = take_aim(world, probe)
        for number, name in enumerate(cell.faults):
            for step in CELL_FAULTS.get(name)(aim):
                delay_ms = number * SECOND_FAULT_MS + step.ms
                over_ms = world.heap.now_ms + delay_ms + step.for_ms
                world.last_fault_ms = max(world.last_fault_ms, over_ms)
                world.heap.call_later(delay_ms, _do, stage, step)

    if cell.kind == AMENDMENT:
        subject = propose_rate(world, '', 1.25, '')
        probe = Probe(world.heap, world.ledger, subject, cell.step, fire)
    else:
        wanted = find_kind(world, cell.kind)
        call = stage.workload.make_call(wanted)
        if cell.kind == CLAIMED:
            call.key = make_time_ordered_key(world)
        probe = Probe(world.heap, world.ledger, call.call_id, cell.step, fire)
        if cell.step == steps.QUEUED:
            _crowd(stage, wanted)
        world.heap.call_later(0, world.callers.begin, call)
    world.probe = probe
    return probe


def _crowd(stage: Stage, wanted: CallClass) -> None:
    """Fill the pool, so that the probe has to wait."""
    name = BOOKING if wanted.service else 'urgent'
    crowd = find_kind(stage.world, name)
    for _ in range(CROWD_CALLS):
        stage.workload.call_at(stage.world.heap.now_ms, crowd)


def _do(stage: Stage, step: FaultStep) -> None:
    FAULTS.get(step.do)(stage, step)


def find_kind(world: World, name: str) -> CallClass:
    """Return the class of a kind of work."""
    name = BOOKING if name == CLAIMED else name
    return next(each for each in world.topology.classes if each.name == name)


def make_time_ordered_key(world: World) -> str:
    """Return a request key of the caller's own, a UUIDv7 (RFC 9562)."""
    rng = world.make_rng('brought key')
    unix_ms = EPOCH_MS + int(world.heap.now_ms)
    high = (unix_ms << 16) | (7 << 12) | rng.getrandbits(12)
    low = (0b10 << 62) | rng.getrandbits(62)
    return str(uuid.UUID(int=(high << 64) | low))


def _check_aftermath(stage: Stage) -> list[Breach]:
    world = stage.world
    calls = [
        stage.workload.call_at(world.heap.now_ms, find_kind(world, name))
        for name in (*CALL_KINDS, 'urgent')
        for _ in range(AFTERMATH_CALLS)
    ]
    world.run_for(AFTERMATH_BEGINS_MS)
    run_until_idle(world, AFTERMATH_MS)
    return [
        Breach('recovers', f'{call.call_class.name} afterwards ended as {call.ending}')
        for call in calls
        if not call.is_whole
    ]


def _judge_probe(world: World, cell: Cell, probe: Probe) -> tuple[str, list[Breach]]:
    """Return how the probe ended and what is wrong with that alone."""
    if cell.kind == AMENDMENT:
        return _judge_amendment(world, probe)
    call = next(each for each in world.callers.calls if each.call_id == probe.subject)
    breaches = []
    must_survive = (
        len(cell.faults) == 1
        and cell.kind in SURVIVING_KINDS
        and cell.faults[0] not in ENDS_DEADLINES
    )
    if must_survive and not call.is_whole:
        text = f'{cell.kind} under way ended as {call.ending}'
        breaches.append(Breach('carried-on', text))
    return call.ending, breaches


def _judge_amendment(world: World, probe: Probe) -> tuple[str, list[Breach]]:
    """Return the reply; a refused change must not be in force anywhere."""
    reply = world.replies.get(probe.subject)
    if reply is None:
        return 'no reply', []
    code = reply.reply.code
    if code is not ResultCode.LOG_UNAVAILABLE:
        return code.name, []
    organisation = world.topology.contracts[0]['organisation']
    item = f'contract:{organisation}'
    versions = {
        host.versions().get(item, 0)
        for host in world.instances.values()
        if host.is_serving
    }
    raced = sum(
        1 for other in world.replies.values() if other.reply.code is ResultCode.OK
    )
    settled = len(world.topology.contracts) + len(world.endpoints)
    if max(versions, default=0) > 1 and raced <= settled:
        text = 'a change said not to be in the log is in force'
        return code.name, [Breach('refused-is-not-in-force', text)]
    return code.name, []
