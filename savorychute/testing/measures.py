"""Figures of a finished run."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from savorychute.testing.engine_host import EngineHost
from savorychute.testing.invariants import find_violations

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.testing.call import Call
    from savorychute.testing.invariants import Violation
    from savorychute.testing.simulation import Simulation

MS_PER_S = 1_000.0


class ClassFigures(NamedTuple):
    """The figures of one class, with times as measured by callers."""

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
    """The figures of one run; ``goodput`` is answered weight per second of load.

    ``wasted_share`` is the share of the generated tokens that no caller received
    as part of a complete answer.  ``jain_index`` is the fairness between
    organisations, by the share of their calls that was answered.
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
    breaches: tuple[Violation, ...]


def measure_run(
    simulation: Simulation, scenario: str, policy: str, load_ms: float
) -> RunFigures:
    """Return the figures of a run.

    Poison calls only count in the number of crashes.

    :param load_ms: the duration of the load.
    """
    calls = [
        call
        for call in simulation.callers.calls
        if call.call_id not in simulation.poison_calls
    ]
    answered_calls = [call for call in calls if call.is_complete]
    weight = sum(call.call_class.weight for call in answered_calls)
    engines = [
        host.engine
        for host in simulation.endpoints.values()
        if isinstance(host, EngineHost)
    ]
    generated_tokens = sum(engine.generated_tokens for engine in engines)
    useful_tokens = sum(call.answer_tokens for call in answered_calls)
    top_tier = min(each.tier for each in simulation.topology.classes)
    return RunFigures(
        scenario=scenario,
        system=simulation.topology.name,
        policy=policy,
        seed=simulation.seed,
        calls=len(calls),
        answered=len(answered_calls),
        attainment=share_attained(calls),
        top_tier_attainment=share_attained(
            [call for call in calls if call.call_class.tier == top_tier]
        ),
        goodput=weight / (load_ms / MS_PER_S),
        wasted_share=(generated_tokens - useful_tokens) / generated_tokens
        if generated_tokens
        else 0.0,
        generated_tokens=generated_tokens,
        attempts_per_call=simulation.attempts / len(calls) if calls else 0.0,
        failovers=simulation.callers.failovers,
        jain_index=_jain_index(calls),
        engine_crashes=sum(each.crashes + each.poison_crashes for each in engines),
        peer_messages=simulation.network.peer_messages,
        classes=tuple(
            _measure_class(simulation, name, calls)
            for name in _list_class_names(simulation)
        ),
        breaches=tuple(find_violations(simulation)),
    )


def share_attained(calls: Sequence[Call]) -> float:
    """Return the share of the calls that met their targets; 1 without calls."""
    if not calls:
        return 1.0
    return sum(call.has_attained for call in calls) / len(calls)


def percentile(values: Sequence[float], percent: int) -> float:
    """Return the nearest-rank percentile; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return round(ordered[max(0, rank - 1)], 2)


def _list_class_names(simulation: Simulation) -> list[str]:
    ordered = sorted(simulation.topology.classes, key=lambda each: each.tier)
    return [each.name for each in ordered]


def _measure_class(
    simulation: Simulation, name: str, calls: Sequence[Call]
) -> ClassFigures:
    class_calls = [call for call in calls if call.call_class.name == name]
    answered_calls = [call for call in class_calls if call.is_complete]
    waits = [
        call.first_token_ms - call.started_ms
        for call in class_calls
        if call.first_token_ms is not None
    ]
    gaps = [call.mean_gap_ms for call in answered_calls if call.answer_tokens > 1]
    endings = Counter(call.code.name if call.code else 'NONE' for call in class_calls)
    tier = next(each.tier for each in simulation.topology.classes if each.name == name)
    return ClassFigures(
        name=name,
        tier=tier,
        calls=len(class_calls),
        attainment=share_attained(class_calls),
        answered=len(answered_calls),
        refused=len(class_calls) - len(answered_calls),
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
    """Return Jain's fairness index of the answered shares of the organisations.

    Jain, Chiu and Hawe, A quantitative measure of fairness, 1984.
    """
    requested: Counter[str] = Counter(call.organisation for call in calls)
    answered_calls: Counter[str] = Counter(
        call.organisation for call in calls if call.is_complete
    )
    shares = [answered_calls[name] / count for name, count in sorted(requested.items())]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0
