"""Tables and JSON documents of load runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.testing.measures import RunFigures

ROUND_DIGITS = 4


def describe_run(figures: RunFigures) -> dict[str, Any]:
    """Return a run's figures as a JSON document."""
    document = figures._asdict()
    document['classes'] = [each._asdict() for each in figures.classes]
    document['breaches'] = [each._asdict() for each in figures.breaches]
    return document


def make_class_rows(figures: RunFigures) -> list[dict[str, Any]]:
    """Return one row for each class of a run."""
    return [
        {
            'class': each.name,
            'tier': each.tier,
            'calls': each.calls,
            'attainment': round(each.attainment, ROUND_DIGITS),
            'answered': each.answered,
            'refused': each.refused,
            'first ms p50/95/99': _join(
                each.first_token_p50_ms,
                each.first_token_p95_ms,
                each.first_token_p99_ms,
            ),
            'gap ms p50/95/99': _join(
                each.token_gap_p50_ms, each.token_gap_p95_ms, each.token_gap_p99_ms
            ),
            'worst wait ms': round(each.worst_wait_ms),
        }
        for each in figures.classes
    ]


def make_run_rows(runs: Sequence[RunFigures]) -> list[dict[str, Any]]:
    """Return one row for each run."""
    return [
        {
            'scenario': run.scenario,
            'system': run.system,
            'policy': run.policy,
            'seed': run.seed,
            'calls': run.calls,
            'attainment': round(run.attainment, ROUND_DIGITS),
            'top tier': round(run.top_tier_attainment, ROUND_DIGITS),
            'goodput': round(run.goodput, 1),
            'wasted': round(run.wasted_share, ROUND_DIGITS + 1),
            'attempts/call': round(run.attempts_per_call, 3),
            'Jain': round(run.jain_index, ROUND_DIGITS),
            'breaches': len(run.breaches),
        }
        for run in runs
    ]


def _join(*values: float) -> str:
    return ' / '.join(f'{value:g}' for value in values)
