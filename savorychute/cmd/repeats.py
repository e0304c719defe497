"""The command ``repeats``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.explain.retries import RetryWindow, RunRetries

DEFAULT_WINDOW_S = 10.0


@COMMANDS.register('repeats')
class Repeats:
    """Print the window with the most retries for each service."""

    summary = 'print from logs the window with the most retries, for each service'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the logs and the window."""
        parser.add_argument(
            'logs', type=Path, nargs='+', help='JSON-lines log files of all gateways'
        )
        parser.add_argument(
            '--window-s',
            type=float,
            default=DEFAULT_WINDOW_S,
            help='length of the window in which retries are limited, in seconds',
        )
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Read the logs and print the table."""
        # Imported here because only a few commands read logs.
        from savorychute.explain.log_reader import read_logs
        from savorychute.explain.retries import find_worst_windows

        lines = read_logs(arguments.logs)
        windows = find_worst_windows(lines, arguments.window_s)
        document = {'services': [_make_row(window) for window in windows]}
        print_document(document, arguments.json)
        return ExitCode.OK if windows else ExitCode.REFUSED


def _make_row(window: RetryWindow) -> dict[str, Any]:
    return {
        'service': window.service,
        'begin_s': round(window.start_s, 3),
        'granted': window.granted,
        'withheld': window.withheld,
        'requests': window.requests,
        'runs': ', '.join(_format_run(run) for run in window.runs),
    }


def _format_run(run: RunRetries) -> str:
    shared = '/'.join(str(count) for count in run.instances)
    return f'{run.instance}#{run.run}: {run.granted} (1 of {shared})'
