"""The command ``gateway``."""

from __future__ import annotations

import os
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.errors import SettingsError

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

SETTINGS_VARIABLE = 'SAVORYCHUTE_CONFIG'


@COMMANDS.register('gateway')
class Gateway:
    """Run a gateway until a signal tells it to leave."""

    summary = 'run a gateway; SIGTERM makes it leave gracefully'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the settings file."""
        add_settings_argument(parser)

    def run(self, arguments: Namespace) -> int:
        """Read the settings and run the gateway."""
        # By default SIGHUP, the request to reload the settings, would end the process
        # while it is loading. It is ignored here; the settings are read afterwards, so
        # no change is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported here so that commands without a daemon start faster.
        from savorychute.gateway.daemon.early_listeners import open_early_listeners

        path = find_settings(arguments)
        with open_early_listeners(path) as listeners:
            # Imported after the sockets listen because it loads all other modules.
            from savorychute.gateway.daemon.run_gateway import run_gateway

            try:
                return run_gateway(path, listeners)
            except SettingsError as error:
                number = error.code.number
                first_line = f'error {number}: the settings have faults'
                raise SettingsError([first_line, *error.faults]) from error


def add_settings_argument(parser: ArgumentParser) -> None:
    """Add the settings file of a gateway.

    :param parser: the parser of a command.
    """
    parser.add_argument(
        'settings',
        type=Path,
        nargs='?',
        help=f'the settings file (default ${SETTINGS_VARIABLE})',
    )


def find_settings(arguments: Namespace) -> Path | str:
    """Return the path of the settings file.

    :param arguments: the arguments of a command.
    :raises SettingsError: if there is none.
    """
    path = arguments.settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            [f'no settings file: specify one, or set {SETTINGS_VARIABLE}']
        )
    return path
