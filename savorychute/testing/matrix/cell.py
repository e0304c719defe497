"""One cell of the fault matrix."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, NamedTuple

from savorychute.result_code import ResultCode
from savorychute.testing.faults import FAULTS, FaultContext
from savorychute.testing.faults.operator_commands import propose_rate
from savorychute.testing.invariants import Violation, find_violations
from savorychute.testing.matrix import steps
from savorychute.testing.matrix.cell_faults import CELL_FAULTS, find_targets
from savorychute.testing.matrix.probe import Probe
from savorychute.testing.profiles import PROFILES
from savorychute.testing.scenario_run import run_until_idle
from savorychute.testing.simulation import EPOCH_MS
from savorychute.testing.simulation_factory import make_simulation
from savorychute.testing.workload import Workload

if TYPE_CHECKING:
    from savorychute.testing.call import CallClass
    from savorychute.testing.faults import FaultStep
    from savorychute.testing.simulation import Simulation

AMENDMENT = 'amendment'
BOOKING = 'booking'
#: A booking whose caller supplies the request key.
CLAIMED = 'claimed'
CALL_KINDS = (BOOKING, CLAIMED, 'clause', 'draft', 'audit')
KINDS = (*CALL_KINDS, AMENDMENT)

LOAD_MS = 3_000.0
LOAD_REQUESTS_PER_S = 4.0
PROBE_AT_MS = 1_000.0
SECOND_FAULT_DELAY_MS = 40.0
SATURATING_CALLS = 60
RECOVERY_MS = 10_000.0
CHECK_CALLS = 2
CHECK_START_MS = 10.0
MAX_CHECK_MS = 6_000.0
MAX_COMPLETION_MS = 60_000.0

#: Work whose caller holds a handle continues after any single fault.
SURVIVING_KINDS = frozenset(('draft', 'audit'))

#: The deadline of the work expires by the clock of the instance that runs it.
DEADLINE_EXPIRING_FAULTS = frozenset(('clock-jump-past-deadline',))


class Cell(NamedTuple):
    """Faults at a step of one kind of work; a second one follows the first shortly."""

    faults: tuple[str, ...]
    step: str
    kind: str
    seed: int = 1

    @property
    def name(self) -> str:
        """The name of the cell."""
        return f'{"+".join(self.faults)}@{self.step}/{self.kind}/{self.seed}'


class CellResult(NamedTuple):
    """The result of a cell; ``fired`` is false if the step was not reached."""

    cell: Cell
    fired: bool
    probe_ending: str
    breaches: tuple[Violation, ...]


def list_steps(kind: str) -> tuple[str, ...]:
    """Return the steps of a kind of work."""
    if kind == AMENDMENT:
        return steps.AMENDMENT_STEPS
    if kind in (BOOKING, 'clause'):
        return steps.REQUEST_STEPS
    return tuple(step for step in steps.REQUEST_STEPS if step not in steps.KEY_STEPS)


def run_cell(cell: Cell) -> CellResult:
    """Run one cell: load, the probe, the faults at its step, and a recovery check.

    After the faults have ended and the system had time to recover, calls of every
    kind must be answered as before.
    """
    simulation = make_simulation(PROFILES.get('small')(), cell.seed)
    simulation.configure()
    context = FaultContext(
        simulation, Workload(simulation, simulation.make_rng('load'))
    )
    _plan_load(context)
    simulation.run_for(PROBE_AT_MS)
    probe = _start_probe(context, cell)
    run_until_idle(simulation, MAX_COMPLETION_MS)
    simulation.run_for(max(0.0, simulation.last_fault_ms - simulation.heap.now_ms))
    simulation.run_for(RECOVERY_MS)
    violations = [*_check_recovery(context)]
    run_until_idle(simulation, MAX_COMPLETION_MS)
    violations += find_violations(simulation)
    ending, probe_violations = _evaluate_probe(simulation, cell, probe)
    violations += probe_violations
    return CellResult(cell, probe.has_fired, ending, tuple(violations))


def _plan_load(context: FaultContext) -> None:
    topology = context.simulation.topology
    start_ms = context.simulation.heap.now_ms
    rate_per_s = LOAD_REQUESTS_PER_S / len(topology.classes)
    for call_class in topology.classes:
        context.workload.run_class(
            call_class, start_ms, start_ms + LOAD_MS, lambda _: rate_per_s
        )


def _start_probe(context: FaultContext, cell: Cell) -> Probe:
    simulation = context.simulation

    def fire(probe: Probe) -> None:
        targets = find_targets(simulation, probe)
        for number, name in enumerate(cell.faults):
            for step in CELL_FAULTS.get(name)(targets):
                delay_ms = number * SECOND_FAULT_DELAY_MS + step.ms
                end_ms = simulation.heap.now_ms + delay_ms + step.for_ms
                simulation.last_fault_ms = max(simulation.last_fault_ms, end_ms)
                simulation.heap.call_later(delay_ms, _apply_step, context, step)

    if cell.kind == AMENDMENT:
        subject = propose_rate(simulation, '', 1.25, '')
        probe = Probe(simulation.heap, simulation.ledger, subject, cell.step, fire)
    else:
        call_class = find_class_of_kind(simulation, cell.kind)
        call = context.workload.make_call(call_class)
        if cell.kind == CLAIMED:
            call.key = make_time_ordered_key(simulation)
        probe = Probe(simulation.heap, simulation.ledger, call.call_id, cell.step, fire)
        if cell.step == steps.QUEUED:
            _saturate_pool(context, call_class)
        simulation.heap.call_later(0, simulation.callers.start, call)
    simulation.probe = probe
    return probe


def _saturate_pool(context: FaultContext, call_class: CallClass) -> None:
    """Saturate the pool, so that the probe has to wait."""
    name = BOOKING if call_class.service else 'urgent'
    filling_class = find_class_of_kind(context.simulation, name)
    for _ in range(SATURATING_CALLS):
        context.workload.call_at(context.simulation.heap.now_ms, filling_class)


def _apply_step(context: FaultContext, step: FaultStep) -> None:
    FAULTS.get(step.do)(context, step)


def find_class_of_kind(simulation: Simulation, name: str) -> CallClass:
    """Return the class of a kind of work."""
    name = BOOKING if name == CLAIMED else name
    return next(each for each in simulation.topology.classes if each.name == name)


def make_time_ordered_key(simulation: Simulation) -> str:
    """Return a request key made by the caller, a UUIDv7 (RFC 9562)."""
    rng = simulation.make_rng('brought key')
    unix_ms = EPOCH_MS + int(simulation.heap.now_ms)
    high = (unix_ms << 16) | (7 << 12) | rng.getrandbits(12)
    low = (0b10 << 62) | rng.getrandbits(62)
    return str(uuid.UUID(int=(high << 64) | low))


def _check_recovery(context: FaultContext) -> list[Violation]:
    simulation = context.simulation
    calls = [
        context.workload.call_at(
            simulation.heap.now_ms, find_class_of_kind(simulation, name)
        )
        for name in (*CALL_KINDS, 'urgent')
        for _ in range(CHECK_CALLS)
    ]
    simulation.run_for(CHECK_START_MS)
    run_until_idle(simulation, MAX_CHECK_MS)
    return [
        Violation(
            'recovers', f'{call.call_class.name} afterwards ended as {call.ending}'
        )
        for call in calls
        if not call.is_complete
    ]


def _evaluate_probe(
    simulation: Simulation, cell: Cell, probe: Probe
) -> tuple[str, list[Violation]]:
    """Return the outcome of the probe and the violations in this outcome."""
    if cell.kind == AMENDMENT:
        return _evaluate_amendment(simulation, probe)
    call = next(
        each for each in simulation.callers.calls if each.call_id == probe.subject
    )
    violations = []
    must_survive = (
        len(cell.faults) == 1
        and cell.kind in SURVIVING_KINDS
        and cell.faults[0] not in DEADLINE_EXPIRING_FAULTS
    )
    if must_survive and not call.is_complete:
        text = f'{cell.kind} in progress ended as {call.ending}'
        violations.append(Violation('carried-on', text))
    return call.ending, violations


def _evaluate_amendment(
    simulation: Simulation, probe: Probe
) -> tuple[str, list[Violation]]:
    """Return the result code; a refused change must not be in force anywhere."""
    reply = simulation.replies.get(probe.subject)
    if reply is None:
        return 'no reply', []
    code = reply.reply.code
    if code is not ResultCode.LOG_UNAVAILABLE:
        return code.name, []
    organisation = simulation.topology.contracts[0]['organisation']
    item = f'contract:{organisation}'
    versions = {
        host.versions().get(item, 0)
        for host in simulation.instances.values()
        if host.is_serving
    }
    accepted_changes = sum(
        1 for other in simulation.replies.values() if other.reply.code is ResultCode.OK
    )
    configured_changes = len(simulation.topology.contracts) + len(simulation.endpoints)
    if max(versions, default=0) > 1 and accepted_changes <= configured_changes:
        text = 'a change reported as not in the log is in force'
        return code.name, [Violation('refused-is-not-in-force', text)]
    return code.name, []
