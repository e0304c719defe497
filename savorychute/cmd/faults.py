"""The command ``faults``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import make_console, make_table, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.testing.matrix.cell import Cell, CellResult

DEFAULT_PAIR_COUNT = 200
# Cells between two progress lines if standard error is not a terminal.
PROGRESS_INTERVAL_CELLS = 50


@COMMANDS.register('faults')
class Faults:
    """Run the fault matrix on a virtual clock."""

    summary = 'inject every fault at every step and check every promise'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the options that select cells."""
        parser.add_argument(
            '--pairs', action='store_true', help='combine two faults in each cell'
        )
        parser.add_argument(
            '--quick',
            action='store_true',
            help='run a sample that covers every fault and every step',
        )
        parser.add_argument(
            '--count', type=int, default=DEFAULT_PAIR_COUNT, help='number of pairs'
        )
        parser.add_argument('--seed', type=int, help='seed of the runs')
        parser.add_argument('--fault', help='only this fault')
        parser.add_argument('--kind', help='only this kind of work')
        parser.add_argument('--step', help='only this step')
        parser.add_argument('--json', action='store_true', help='print one JSON object')

    def run(self, arguments: Namespace) -> int:
        """Run the cells and print the grid; fail if a promise was broken."""
        # Imported here because few commands need the stand-ins.
        from savorychute.testing.matrix.cell import run_cell

        cells = _choose_cells(arguments)
        results = []
        for number, cell in enumerate(cells, 1):
            results.append(run_cell(cell))
            _show_progress(number, len(cells))
        document = _summarise(results)
        if arguments.json:
            print_document(document, True)
        else:
            _print_grid(results, document)
        return ExitCode.REFUSED if document['broken'] else ExitCode.OK


def _choose_cells(arguments: Namespace) -> list[Cell]:
    from savorychute.testing.matrix.plan import (
        PAIR_SEED,
        list_singles,
        sample_pairs,
        sample_singles,
    )

    if arguments.pairs:
        seed = PAIR_SEED if arguments.seed is None else arguments.seed
        cells = sample_pairs(arguments.count, seed)
    elif arguments.quick:
        cells = sample_singles(1 if arguments.seed is None else arguments.seed)
    else:
        cells = list_singles(1 if arguments.seed is None else arguments.seed)
    return [
        cell
        for cell in cells
        if (not arguments.fault or arguments.fault in cell.faults)
        and (not arguments.kind or arguments.kind == cell.kind)
        and (not arguments.step or arguments.step == cell.step)
    ]


def _show_progress(done: int, count: int) -> None:
    """Print the progress of the run on standard error."""
    if sys.stderr.isatty() or done == count or done % PROGRESS_INTERVAL_CELLS == 0:
        end = '\r' if sys.stderr.isatty() and done < count else '\n'
        print(f'{done} of {count} cells', end=end, file=sys.stderr, flush=True)


def _summarise(results: list[CellResult]) -> dict[str, Any]:
    broken = [
        {
            'cell': result.cell.name,
            'ending': result.probe_ending,
            'breaches': [
                f'{breach.promise}: {breach.text}' for breach in result.breaches
            ],
        }
        for result in results
        if result.breaches
    ]
    return {
        'cells': len(results),
        'reached': sum(result.fired for result in results),
        'broken': len(broken),
        'broken_cells': broken,
    }


def _print_grid(results: list[CellResult], document: dict[str, Any]) -> None:
    """Print a row for each fault and a column for each step."""
    console = make_console()
    rows: dict[str, dict[str, Any]] = {}
    for result in results:
        name = ' + '.join(result.cell.faults)
        row = rows.setdefault(name, {'fault': name})
        column = result.cell.step
        passed, total = row.get(column, (0, 0))
        row[column] = (passed + (not result.breaches), total + 1)
    table = [
        {
            column: value if isinstance(value, str) else f'{value[0]}/{value[1]}'
            for column, value in row.items()
        }
        for row in rows.values()
    ]
    console.print(make_table('cells that held / cells run', table))
    for entry in document['broken_cells']:
        console.print(f'{entry["cell"]} ({entry["ending"]}):')
        for breach in entry['breaches']:
            console.print(f'  {breach}')
    console.print(
        f'{document["cells"]} cells, step reached in {document["reached"]},'
        f' broken {document["broken"]}'
    )
