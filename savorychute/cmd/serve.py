"""The command ``serve``."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.settings import read_settings

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


@COMMANDS.register('serve')
class Serve:
    """Run an instance until a signal tells it to leave."""

    summary = 'run an instance; SIGTERM makes it leave gracefully'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the settings file."""
        parser.add_argument('settings', type=Path, help='the settings file')

    def run(self, arguments: Namespace) -> int:
        """Read the settings and run the daemon."""
        # By default SIGHUP, the request to reload the certificate, would end the process
        # while it is loading.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported here so that commands without a daemon start faster.
        from savorychute.daemon.main import run_daemon

        return run_daemon(read_settings(arguments.settings))
