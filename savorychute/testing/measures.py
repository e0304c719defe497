"""The figures of a finished run."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from savorychute.testing.engine_host import EngineHost
from savorychute.testing.promises import find_breaches

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.testing.call import Call
    from savorychute.testing.promises import Breach
    from savorychute.testing.world import World

MS_PER_S = 1_000.0


class ClassFigures(NamedTuple):
    """One class: its calls and how they went; times are seen by callers."""

    name: str
    tier: int
    calls: int
    attainment: float
    answered: int
    refused: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    token_gap_p50_ms: float
    token_gap_p95_ms: float
    token_gap_p99_ms: float
    worst_wait_ms: float
    endings: dict[str, int]


class RunFigures(NamedTuple):
    """One run; ``goodput`` is answered weight per second of load.

    ``wasted_share`` is the part of the generated tokens that no caller got as
    part of a whole answer.  ``jain_index`` compares organisations by the share of
    their calls that was answered.
    """

    scenario: str
    system: str
    policy: str
    seed: int
    calls: int
    answered: int
    attainment: float
    top_tier_attainment: float
    goodput: float
    wasted_share: float
    generated_tokens: int
    attempts_per_call: float
    failovers: int
    jain_index: float
    engine_crashes: int
    peer_messages: int
    classes: tuple[ClassFigures, ...]
    breaches: tuple[Breach, ...]


def measure_run(world: World, scenario: str, policy: str, load_ms: float) -> RunFigures:
    """Return the figures of a run.

    Poison calls count for nothing but the crashes that they cause.

    :param load_ms: for how long there was load.
    """
    calls = [
        call for call in world.callers.calls if call.call_id not in world.poison_calls
    ]
    whole = [call for call in calls if call.is_whole]
    weight = sum(call.call_class.weight for call in whole)
    engines = [
        host.engine for host in world.endpoints.values() if isinstance(host, EngineHost)
    ]
    generated = sum(engine.generated_tokens for engine in engines)
    useful = sum(call.answer_tokens for call in whole)
    top = min(each.tier for each in world.topology.classes)
    return RunFigures(
        scenario=scenario,
        system=world.topology.name,
        policy=policy,
        seed=world.seed,
        calls=len(calls),
        answered=len(whole),
        attainment=share_attained(calls),
        top_tier_attainment=share_attained(
            [call for call in calls if call.call_class.tier == top]
        ),
        goodput=weight / (load_ms / MS_PER_S),
        wasted_share=(generated - useful) / generated if generated else 0.0,
        generated_tokens=generated,
        attempts_per_call=world.attempts / len(calls) if calls else 0.0,
        failovers=world.callers.failovers,
        jain_index=_jain_index(calls),
        engine_crashes=sum(each.crashes + each.poison_crashes for each in engines),
        peer_messages=world.network.peer_messages,
        classes=tuple(_measure_class(world, name, calls) for name in _names(world)),
        breaches=tuple(find_breaches(world)),
    )


def share_attained(calls: Sequence[Call]) -> float:
    """Return the share of the calls that met their targets; 1 of none."""
    if not calls:
        return 1.0
    return sum(call.has_attained for call in calls) / len(calls)


def percentile(values: Sequence[float], percent: int) -> float:
    """Return the nearest-rank percentile; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return round(ordered[max(0, rank - 1)], 2)


def _names(world: World) -> list[str]:
    ordered = sorted(world.topology.classes, key=lambda each: each.tier)
    return [each.name for each in ordered]


def _measure_class(world: World, name: str, calls: Sequence[Call]) -> ClassFigures:
    mine = [call for call in calls if call.call_class.name == name]
    whole = [call for call in mine if call.is_whole]
    waits = [
        call.first_token_ms - call.begun_ms
        for call in mine
        if call.first_token_ms is not None
    ]
    gaps = [call.mean_gap_ms for call in whole if call.answer_tokens > 1]
    endings = Counter(call.code.name if call.code else 'NONE' for call in mine)
    tier = next(each.tier for each in world.topology.classes if each.name == name)
    return ClassFigures(
        name=name,
        tier=tier,
        calls=len(mine),
        attainment=share_attained(mine),
        answered=len(whole),
        refused=len(mine) - len(whole),
        first_token_p50_ms=percentile(waits, 50),
        first_token_p95_ms=percentile(waits, 95),
        first_token_p99_ms=percentile(waits, 99),
        token_gap_p50_ms=percentile(gaps, 50),
        token_gap_p95_ms=percentile(gaps, 95),
        token_gap_p99_ms=percentile(gaps, 99),
        worst_wait_ms=max(waits, default=0.0),
        endings=dict(sorted(endings.items())),
    )


def _jain_index(calls: Sequence[Call]) -> float:
    """Return Jain's fairness index over the organisations' answered shares.

    Jain, Chiu and Hawe, A quantitative measure of fairness, 1984.
    """
    asked: Counter[str] = Counter(call.organisation for call in calls)
    whole: Counter[str] = Counter(call.organisation for call in calls if call.is_whole)
    shares = [whole[name] / count for name, count in sorted(asked.items())]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0
