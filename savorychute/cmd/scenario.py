"""The command ``scenario run``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


@COMMANDS.register('scenario run')
class ScenarioRun:
    """Run a scripted scenario on a virtual clock."""

    summary = 'run scenario files and check their expectations'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the files, the seed and the policy."""
        parser.add_argument('files', type=Path, nargs='+')
        parser.add_argument('--seed', type=int, help="replaces the scenario's own seed")
        parser.add_argument('--policy', default='default')
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Run each file on each of its systems; fail if an expectation is not met."""
        # Imported here because few commands need the stand-ins.
        from savorychute.testing.scenario_file import read_scenario
        from savorychute.testing.scenario_run import run_scenario

        rows = []
        failed = False
        for path in arguments.files:
            scenario = read_scenario(path)
            for system in scenario.systems:
                result = run_scenario(
                    scenario, system, arguments.seed, arguments.policy
                )
                failed = failed or bool(result.failures)
                row = {
                    'scenario': scenario.name,
                    'system': system,
                    'seed': result.figures.seed,
                    'calls': result.figures.calls,
                    'answered': result.figures.answered,
                    'failures': list(result.failures),
                }
                rows.append(row)
        print_document({'scenarios': rows}, arguments.json)
        return ExitCode.REFUSED if failed else ExitCode.OK
