"""Run every bench: ``python -m benches [--json] [--repeats N] [name ...]``."""

from __future__ import annotations

import argparse
import importlib
import json
import pkgutil
import random
import sys
from typing import TYPE_CHECKING

from rich.console import Console
from rich.table import Table

import benches

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from benches.bench_row import BenchRow

SEED = 20_260_101
DEFAULT_REPEATS = 5
WIDE_COLUMNS = 120


def main(argv: Sequence[str] | None = None) -> int:
    """Run the named benches, or all of them."""
    arguments = _parse(argv)
    rows: list[BenchRow] = []
    for name in arguments.names or list(find_benches()):
        module = importlib.import_module(f'benches.{name}')
        rows += module.run(arguments.repeats, random.Random(SEED))
    if arguments.json:
        json.dump([row._asdict() for row in rows], sys.stdout, indent=1)
        sys.stdout.write('\n')
    else:
        _print_table(rows)
    return 0


def find_benches() -> Iterator[str]:
    """Yield the names of the modules of this package that have a ``run``."""
    for module_info in pkgutil.iter_modules(benches.__path__):
        if module_info.ispkg or module_info.name.startswith('_'):
            continue
        if hasattr(importlib.import_module(f'benches.{module_info.name}'), 'run'):
            yield module_info.name


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='benches', description=__doc__)
    parser.add_argument('names', nargs='*', help='benches; all if none is named')
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--repeats', type=int, default=DEFAULT_REPEATS)
    return parser.parse_args(argv)


def _print_table(rows: list[BenchRow]) -> None:
    table = Table()
    for title in ('measure', 'value', 'unit', 'baseline', 'ratio'):
        table.add_column(title, justify='left' if title == 'measure' else 'right')
    for row in rows:
        table.add_row(
            row.name,
            f'{row.value:.4g}',
            row.unit,
            f'{row.baseline_value:.4g}',
            f'{row.ratio:.3g}',
        )
    console = Console()
    if not console.is_terminal:
        console = Console(width=WIDE_COLUMNS)
    console.print(table)


if __name__ == '__main__':
    sys.exit(main())
