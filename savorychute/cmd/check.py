"""The command ``check``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document
from savorychute.errors import SettingsError
from savorychute.settings import read_settings

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


@COMMANDS.register('check')
class Check:
    """Check a settings file without starting anything."""

    summary = 'check a settings file and list all its faults'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the settings file."""
        parser.add_argument('settings', type=Path, help='the settings file')
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Print all faults, or that there are none."""
        faults: tuple[str, ...] = ()
        try:
            read_settings(arguments.settings)
        except SettingsError as error:
            faults = error.faults
        if arguments.json:
            print_document({'ok': not faults, 'faults': list(faults)}, True)
        else:
            print('\n'.join(faults) or f'{arguments.settings}: no faults')
        return ExitCode.REFUSED if faults else ExitCode.OK
