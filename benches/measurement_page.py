"""Writes the tables of ``docs/measurements.md`` from the results of load runs.

``savorychute load <scenario> ... --json > run.json`` creates an input file; several
files can be given.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

POLICY_ORDER = ('default', 'round-robin', 'least-outstanding', 'fifo', 'simple')
RUN_COLUMNS = (
    'scenario',
    'system',
    'policy',
    'attainment',
    'top tier',
    'goodput',
    'wasted %',
    'attempts/call',
    'Jain',
    'refused',
    'breaches',
)
CLASS_COLUMNS = (
    'scenario',
    'system',
    'class',
    'tier',
    'calls',
    'attainment',
    'refused',
    'first token ms p50 / p95 / p99',
    'gap ms p50 / p95 / p99',
    'worst wait ms',
)
Run = dict[str, Any]


def main(paths: list[str]) -> int:
    """Print the table of runs and the table of classes."""
    runs: list[Run] = []
    for path in paths:
        runs += json.loads(Path(path).read_text())['runs']
    runs.sort(key=_order)
    _print_table(RUN_COLUMNS, [_run_row(run) for run in runs])
    print()
    default_runs = [run for run in runs if run['policy'] == POLICY_ORDER[0]]
    rows = [
        _class_row(run, class_figures)
        for run in default_runs
        for class_figures in run['classes']
    ]
    _print_table(CLASS_COLUMNS, rows)
    return 0


def _order(run: Run) -> tuple[str, str, int]:
    return run['scenario'], run['system'], POLICY_ORDER.index(run['policy'])


def _run_row(run: Run) -> list[str]:
    return [
        run['scenario'],
        run['system'],
        run['policy'],
        f'{run["attainment"]:.4f}',
        f'{run["top_tier_attainment"]:.4f}',
        f'{run["goodput"]:.1f}',
        f'{run["wasted_share"] * 100:.3f}',
        f'{run["attempts_per_call"]:.3f}',
        f'{run["jain_index"]:.4f}',
        str(run['calls'] - run['answered']),
        str(len(run['breaches'])),
    ]


def _class_row(run: Run, class_figures: Run) -> list[str]:
    first = (
        f'{class_figures[f"first_token_p{percent}_ms"]:.0f}' for percent in (50, 95, 99)
    )
    gap = (
        f'{class_figures[f"token_gap_p{percent}_ms"]:.1f}' for percent in (50, 95, 99)
    )
    return [
        run['scenario'],
        run['system'],
        class_figures['name'],
        str(class_figures['tier']),
        str(class_figures['calls']),
        f'{class_figures["attainment"]:.4f}',
        str(class_figures['refused']),
        ' / '.join(first),
        ' / '.join(gap),
        f'{class_figures["worst_wait_ms"]:.0f}',
    ]


def _print_table(columns: tuple[str, ...], rows: list[list[str]]) -> None:
    print(f'| {" | ".join(columns)} |')
    print(f'|{"|".join(["---"] * len(columns))}|')
    for row in rows:
        print(f'| {" | ".join(row)} |')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
