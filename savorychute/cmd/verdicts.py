"""The command ``verdicts``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.gateway import add_settings_argument, find_settings
from savorychute.cmd.output import add_output_arguments, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.crashes.verdict import Verdict

MS_PER_S = 1_000


@COMMANDS.register('verdicts')
class Verdicts:
    """Print the verdicts on requests that crash endpoints, or lift one."""

    summary = 'print the stored verdicts on requests that crash endpoints, or lift one'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the settings file and the verdict to lift."""
        add_settings_argument(parser)
        parser.add_argument(
            '--lift',
            metavar='KEY',
            help='the key of a verdict; the gateways learn of it within 30 seconds',
        )
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Read the verdicts from the store, and print them."""
        # Imported here so that commands without a store start faster.
        from savorychute.gateway.daemon.verdict_editor import edit_verdicts

        verdicts = asyncio.run(edit_verdicts(find_settings(arguments), arguments.lift))
        if arguments.lift and arguments.lift not in verdicts:
            return ExitCode.REFUSED
        rows = [_make_row(key, verdict) for key, verdict in verdicts.items()]
        print_document({'verdicts': rows}, arguments.json)
        return ExitCode.OK


def _make_row(key: str, verdict: Verdict) -> dict[str, Any]:
    return {
        'key': key,
        'service': verdict.key.service,
        'traits': ', '.join(f'{trait:x}' for trait in verdict.key.traits),
        'crashes': verdict.crashes,
        'certain': verdict.certain,
        'trials': verdict.trials,
        'next_trial_in_s': round(max(0, verdict.due_ms) / MS_PER_S),
        'state': 'lifted' if verdict.lifted else 'in force',
    }
