"""The command ``schema``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.wire.peer_packages import load_peer_messages
from savorychute.wire.schema_writer import SCHEMA_PATH, write_schema

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


@COMMANDS.register('schema')
class Schema:
    """Generate the schema of the messages between instances."""

    summary = 'generate the schema of instance messages from their types'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add ``--check``."""
        parser.add_argument(
            '--check',
            action='store_true',
            help='write nothing; fail if the file is out of date',
        )

    def run(self, arguments: Namespace) -> int:
        """Write the schema, or check that the file is up to date."""
        text = write_schema(load_peer_messages())
        if arguments.check:
            current = SCHEMA_PATH.read_text() == text
            return ExitCode.OK if current else ExitCode.REFUSED
        SCHEMA_PATH.write_text(text)
        print(f'{SCHEMA_PATH.name}: {len(load_peer_messages())} messages')
        return ExitCode.OK
