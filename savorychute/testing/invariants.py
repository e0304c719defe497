"""The invariants that are checked after every run, and their violations."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from savorychute.ran import Ran
from savorychute.registry import Registry
from savorychute.result_code import ResultCode
from savorychute.testing.engine_host import EngineHost

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from savorychute.testing.simulation import Simulation

INVARIANTS: Registry[Callable[[Simulation], Iterator[str]]] = Registry('promise')

MAX_POISON_CRASHES = 2
LEAVING_BOUND_MS = 3_000.0
NEVER_RUNS_CODES = frozenset((ResultCode.WRONG_INSTANCE,))


class Violation(NamedTuple):
    """An invariant that did not hold, and the observation that shows it."""

    promise: str
    text: str


def find_violations(simulation: Simulation) -> list[Violation]:
    """Return all violations of a finished run."""
    return [
        Violation(name, text)
        for name in INVARIANTS
        for text in INVARIANTS.get(name)(simulation)
    ]


@INVARIANTS.register('whole-and-own')
def check_answers(simulation: Simulation) -> Iterator[str]:
    """Every caller receives the complete answer to its own request."""
    yield from simulation.ledger.violations


@INVARIANTS.register('no-defects')
def check_defects(simulation: Simulation) -> Iterator[str]:
    """No instance raises an exception, whatever input it receives."""
    yield from simulation.ledger.defects


@INVARIANTS.register('nothing-lost')
def check_losses(simulation: Simulation) -> Iterator[str]:
    """Every caller receives the outcome of its request."""
    for call in simulation.callers.calls:
        if not call.is_finished:
            yield f'call {call.call_id} ({call.call_class.name}) has no outcome'
        elif call.outcome == 'nothing':
            yield f'call {call.call_id} ({call.call_class.name}) received nothing'


@INVARIANTS.register('at-most-once')
def check_single_runs(simulation: Simulation) -> Iterator[str]:
    """A non-idempotent request runs at most once."""
    execution_counts = Counter(
        execution.marker for execution in simulation.ledger.executions
    )
    for call in simulation.callers.calls:
        count = execution_counts[call.call_id]
        if not call.call_class.idempotent and count > 1:
            yield f'call {call.call_id} ({call.call_class.name}) ran {count} times'


@INVARIANTS.register('not-run-is-true')
def check_not_run(simulation: Simulation) -> Iterator[str]:
    """A request that is reported as not run was not run.

    This applies to the refused request at any time, and to all requests with the
    same key that were sent earlier.
    """
    keys = simulation.key_by_request
    sent_ms = simulation.sent_ms_by_request
    executions_by_marker: dict[str, list[tuple[float, str]]] = {}
    for execution in simulation.ledger.executions:
        entry = (execution.at_ms, execution.request_id)
        executions_by_marker.setdefault(execution.marker, []).append(entry)
    for reported in simulation.ledger.reported_outcomes:
        if reported.ran is not Ran.NOT_RUN or reported.code in NEVER_RUNS_CODES:
            continue
        key = keys[reported.request_id]
        for _, request_id in executions_by_marker.get(reported.marker, ()):
            is_own = request_id == reported.request_id
            has_same_key = bool(key) and keys[request_id] == key
            is_earlier = has_same_key and sent_ms[request_id] <= reported.at_ms
            if is_own or is_earlier:
                yield (
                    f'{reported.instance} reported not run ({reported.code.name}) of'
                    f' {reported.request_id}, but {request_id} ran'
                )


@INVARIANTS.register('leaving-gets-nothing')
def check_leaving(simulation: Simulation) -> Iterator[str]:
    """A leaving endpoint receives no new work after 3 seconds."""
    leaving_ms = simulation.ledger.leaving_ms
    for arrival in simulation.ledger.arrivals:
        since_ms = leaving_ms.get(arrival.endpoint)
        if since_ms is None or arrival.resumed:
            continue
        late_ms = arrival.at_ms - since_ms
        if late_ms > LEAVING_BOUND_MS:
            yield f'{arrival.endpoint} got {arrival.attempt_id} after {late_ms:.0f} ms'


@INVARIANTS.register('tiers-hold')
def check_tiers(simulation: Simulation) -> Iterator[str]:
    """No higher-tier request is shed or preempted for a lower-tier one."""
    yield from simulation.tier_monitor.violations


@INVARIANTS.register('none-starves')
def check_starvation(simulation: Simulation) -> Iterator[str]:
    """Every class with sufficient demand receives answers."""
    requested: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for call in simulation.callers.calls:
        requested[call.call_class.name] += 1
        if call.is_complete:
            answered[call.call_class.name] += 1
    for name, count in sorted(requested.items()):
        if count >= simulation.topology.starvation_calls and not answered[name]:
            yield f'none of {count} calls of {name} was answered'


@INVARIANTS.register('configuration-holds')
def check_configuration(simulation: Simulation) -> Iterator[str]:
    """An accepted configuration is in force everywhere and never reverts."""
    yield from simulation.configuration_monitor.find_violations()


@INVARIANTS.register('poison-is-bounded')
def check_poison(simulation: Simulation) -> Iterator[str]:
    """One poison request crashes at most two endpoints, over all instances.

    During a network partition, neither side learns of the crashes of the other, so
    the bound applies to each side.
    """
    crashes = sum(
        host.engine.poison_crashes
        for host in simulation.endpoints.values()
        if isinstance(host, EngineHost)
    )
    sides = 2 if simulation.network.had_network_partition else 1
    if crashes > MAX_POISON_CRASHES * simulation.poison_count * sides:
        yield f'{crashes} crashes by {simulation.poison_count} poison requests'


@INVARIANTS.register('shutdown-cuts-nothing')
def check_shutdown(simulation: Simulation) -> Iterator[str]:
    """A graceful shutdown interrupts no request in progress."""
    for name, count in sorted(simulation.interrupted_by_shutdown.items()):
        yield f'{name} left with {count} requests in progress'
