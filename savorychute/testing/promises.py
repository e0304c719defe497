"""The promises that every run is checked for, and the breaches found."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from savorychute.ran import Ran
from savorychute.registry import Registry
from savorychute.result_code import ResultCode
from savorychute.testing.engine_host import EngineHost

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from savorychute.testing.world import World

PROMISES: Registry[Callable[[World], Iterator[str]]] = Registry('promise')

MOST_POISON_CRASHES = 2
LEAVING_BOUND_MS = 3_000.0
NEVER_RUNS_CODES = frozenset((ResultCode.WRONG_INSTANCE,))


class Breach(NamedTuple):
    """A promise that did not hold, and where that shows."""

    promise: str
    text: str


def find_breaches(world: World) -> list[Breach]:
    """Return every breach of a finished run."""
    return [
        Breach(name, text) for name in PROMISES for text in PROMISES.get(name)(world)
    ]


@PROMISES.register('whole-and-own')
def check_answers(world: World) -> Iterator[str]:
    """Every caller receives the whole answer to its own request."""
    yield from world.ledger.breaches


@PROMISES.register('no-defects')
def check_defects(world: World) -> Iterator[str]:
    """No instance raises an exception, whatever it is told."""
    yield from world.ledger.defects


@PROMISES.register('nothing-lost')
def check_losses(world: World) -> Iterator[str]:
    """Every caller is told how its request ended."""
    for call in world.callers.calls:
        if not call.is_over:
            yield f'call {call.call_id} ({call.call_class.name}) has no end'
        elif call.told == 'nothing':
            yield f'call {call.call_id} ({call.call_class.name}) heard nothing'


@PROMISES.register('at-most-once')
def check_single_runs(world: World) -> Iterator[str]:
    """A non-idempotent request runs at most once."""
    runs = Counter(execution.marker for execution in world.ledger.executions)
    for call in world.callers.calls:
        count = runs[call.call_id]
        if not call.call_class.idempotent and count > 1:
            yield f'call {call.call_id} ({call.call_class.name}) ran {count} times'


@PROMISES.register('not-run-is-true')
def check_not_run(world: World) -> Iterator[str]:
    """When a caller is told that its request was not run, it was not run.

    That holds for the request that was refused at any time, and for all requests
    under the same key that were sent before.
    """
    keys = world.key_by_request
    sent_ms = world.sent_ms_by_request
    runs: dict[str, list[tuple[float, str]]] = {}
    for execution in world.ledger.executions:
        entry = (execution.at_ms, execution.request_id)
        runs.setdefault(execution.marker, []).append(entry)
    for telling in world.ledger.tellings:
        if telling.ran is not Ran.NOT_RUN or telling.code in NEVER_RUNS_CODES:
            continue
        key = keys[telling.request_id]
        for _, request_id in runs.get(telling.marker, ()):
            is_own = request_id == telling.request_id
            has_same_key = bool(key) and keys[request_id] == key
            is_earlier = has_same_key and sent_ms[request_id] <= telling.at_ms
            if is_own or is_earlier:
                yield (
                    f'{telling.instance} said not run ({telling.code.name}) of'
                    f' {telling.request_id}, but {request_id} ran'
                )


@PROMISES.register('leaving-gets-nothing')
def check_leaving(world: World) -> Iterator[str]:
    """A leaving endpoint receives no new work after a few seconds."""
    leaving_ms = world.ledger.leaving_ms
    for arrival in world.ledger.arrivals:
        since_ms = leaving_ms.get(arrival.endpoint)
        if since_ms is None or arrival.resumed:
            continue
        late_ms = arrival.at_ms - since_ms
        if late_ms > LEAVING_BOUND_MS:
            yield f'{arrival.endpoint} got {arrival.attempt_id} after {late_ms:.0f} ms'


@PROMISES.register('tiers-hold')
def check_tiers(world: World) -> Iterator[str]:
    """No higher-tier request is shed or preempted for a lower-tier one."""
    yield from world.tier_watch.breaches


@PROMISES.register('none-starves')
def check_starvation(world: World) -> Iterator[str]:
    """Every class with some demand gets some answers."""
    asked: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for call in world.callers.calls:
        asked[call.call_class.name] += 1
        if call.is_whole:
            answered[call.call_class.name] += 1
    for name, count in sorted(asked.items()):
        if count >= world.topology.starvation_calls and not answered[name]:
            yield f'none of {count} calls of {name} was answered'


@PROMISES.register('configuration-holds')
def check_configuration(world: World) -> Iterator[str]:
    """An accepted configuration is in force everywhere and never reverts."""
    yield from world.configuration_watch.find_breaches()


@PROMISES.register('poison-is-bounded')
def check_poison(world: World) -> Iterator[str]:
    """One poison request crashes at most two endpoints, over all instances.

    While failure domains are cut from each other neither side can hear of the
    other's crashes, so the bound then holds for each side.
    """
    crashes = sum(
        host.engine.poison_crashes
        for host in world.endpoints.values()
        if isinstance(host, EngineHost)
    )
    sides = 2 if world.network.was_cut else 1
    if crashes > MOST_POISON_CRASHES * world.poisons * sides:
        yield f'{crashes} crashes by {world.poisons} poison requests'


@PROMISES.register('shutdown-cuts-nothing')
def check_shutdown(world: World) -> Iterator[str]:
    """A graceful shutdown cuts off no request in progress."""
    for name, count in sorted(world.cut_by_shutdown.items()):
        yield f'{name} left with {count} requests in progress'
