"""The command ``engines``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.explain.engine_speeds import EngineRow


@COMMANDS.register('engines')
class Engines:
    """Print the speeds of engines, and the evidence for them."""

    summary = 'print from logs how fast engines are, and on what evidence'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the logs."""
        parser.add_argument(
            'logs', type=Path, nargs='+', help='JSON-lines log files of any gateways'
        )
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Read the logs and print the table."""
        # Imported here because only a few commands read logs.
        from savorychute.explain.engine_speeds import list_engines
        from savorychute.explain.log_reader import read_logs

        rows = list_engines(read_logs(arguments.logs))
        print_document({'engines': [_make_row(row) for row in rows]}, arguments.json)
        return ExitCode.OK if rows else ExitCode.REFUSED


def _make_row(row: EngineRow) -> dict[str, Any]:
    return row._asdict() | {'age_s': round(row.age_s, 1)}
