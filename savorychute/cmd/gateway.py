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
    """Run a gateway until it is told to leave."""

    summary = 'run a gateway; SIGTERM makes it leave gracefully'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the settings file."""
        parser.add_argument(
            'settings',
            type=Path,
            nargs='?',
            help=f'a file of settings; without it that of ${SETTINGS_VARIABLE}',
        )

    def run(self, arguments: Namespace) -> int:
        """Read the settings and run the gateway."""
        # Asked to read its settings anew while it is loading, the process would end; it
        # reads them after this, so nothing is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported late: other commands need no daemon and start faster.
        from savorychute.gateway.daemon.early_listeners import open_early_listeners

        path = arguments.settings or os.environ.get(SETTINGS_VARIABLE)
        if not path:
            raise SettingsError(
                [f'no settings file: name one, or set {SETTINGS_VARIABLE}']
            )
        with open_early_listeners(path) as listeners:
            # Imported when the sockets listen: it loads all the rest.
            from savorychute.gateway.daemon.run_gateway import run_gateway

            try:
                return run_gateway(path, listeners)
            except SettingsError as error:
                number = error.code.number
                head = f'error {number}: the settings have faults'
                raise SettingsError([head, *error.faults]) from error
