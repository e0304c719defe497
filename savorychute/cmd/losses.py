"""The command ``losses``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.explain.losses import LossRow


@COMMANDS.register('losses')
class Losses:
    """Print which requests were late, truncated or refused, and when."""

    summary = 'print from logs which requests were lost or late, by cause'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the logs."""
        parser.add_argument(
            'logs', type=Path, nargs='+', help='JSON-lines log files of any gateways'
        )
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Read the logs and print the table."""
        # Imported here because only a few commands read logs.
        from savorychute.explain.log_reader import read_logs
        from savorychute.explain.losses import count_losses

        table = count_losses(read_logs(arguments.logs))
        document = {
            'losses': [_make_row(row) for row in table.rows],
            'omitted_lines': table.omitted_lines,
        }
        print_document(document, arguments.json)
        return ExitCode.OK if table.rows else ExitCode.REFUSED


def _make_row(row: LossRow) -> dict[str, Any]:
    return {
        'route': row.route,
        'rank': row.rank,
        'cause': row.cause.value,
        'requests': row.requests,
        'share': round(row.share, 3),
        'worst_seconds': _format_counts(row.seconds),
        'endpoints': _format_counts(row.endpoints),
    }


def _format_counts(counts: tuple[tuple[object, int], ...]) -> str:
    return ', '.join(f'{name} ({count})' for name, count in counts)
