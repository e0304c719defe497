"""The command ``load``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import make_console, make_table, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.testing.measures import RunFigures

MAX_SHOWN_BREACHES = 10


@COMMANDS.register('load')
class Load:
    """Measure a policy under load on a virtual clock."""

    summary = 'run a load scenario in one process on a virtual clock'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the scenario, seeds, policies and systems."""
        parser.add_argument('scenario', help='name of a scenario, "all" or "list"')
        parser.add_argument('--seed', type=int, action='append', help='may be repeated')
        parser.add_argument('--policy', action='append', help='may be repeated')
        parser.add_argument('--system', action='append', help='may be repeated')
        parser.add_argument(
            '--plot', type=Path, help='write a plot of attainment to this file'
        )
        parser.add_argument('--json', action='store_true', help='print one JSON object')

    def run(self, arguments: Namespace) -> int:
        """Run all combinations and print their figures."""
        # Imported here because few commands need the stand-ins.
        from savorychute.testing.report import describe_run
        from savorychute.testing.scenario_file import list_bundled

        if arguments.scenario == 'list':
            print_document({'scenarios': list_bundled()}, arguments.json)
            return ExitCode.OK
        runs = _run_all(arguments)
        if arguments.json:
            print_document({'runs': [describe_run(run) for run in runs]}, True)
        else:
            _print_tables(runs)
        if arguments.plot:
            from savorychute.testing.plot import plot_attainment

            plot_attainment(runs, arguments.plot)
        broken = any(run.breaches for run in runs)
        return ExitCode.REFUSED if broken else ExitCode.OK


def _run_all(arguments: Namespace) -> list[RunFigures]:
    from savorychute.testing.policies import DEFAULT_POLICY
    from savorychute.testing.scenario_file import list_bundled, read_bundled
    from savorychute.testing.scenario_run import run_scenario

    is_all = arguments.scenario == 'all'
    names = list_bundled() if is_all else [arguments.scenario]
    scenarios = [read_bundled(name) for name in names]
    return [
        run_scenario(scenario, system, seed, policy).figures
        for scenario in scenarios
        for system in arguments.system or scenario.systems
        for seed in arguments.seed or [scenario.seed]
        for policy in arguments.policy or [DEFAULT_POLICY]
    ]


def _print_tables(runs: list[RunFigures]) -> None:
    from savorychute.testing.report import make_class_rows, make_run_rows

    console = make_console()
    for run in runs:
        title = f'{run.scenario}, {run.system}, {run.policy}, seed {run.seed}'
        console.print(make_table(title, make_class_rows(run)))
    console.print(make_table('runs', make_run_rows(runs)))
    for run in runs:
        for breach in run.breaches[:MAX_SHOWN_BREACHES]:
            console.print(
                f'{run.scenario} {run.policy}: {breach.promise}: {breach.text}'
            )
