"""The command ``docs``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

DEFAULT_DIRECTORY = Path('docs/reference')


@COMMANDS.register('docs')
class Docs:
    """Write the pages of the reference that come from the code."""

    summary = 'write the pages of the reference that come from the code'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the directory and ``--check``."""
        parser.add_argument(
            '--directory',
            type=Path,
            default=DEFAULT_DIRECTORY,
            help='where the pages are (docs/reference)',
        )
        parser.add_argument(
            '--check', action='store_true', help='write nothing; fail if one is old'
        )

    def run(self, arguments: Namespace) -> int:
        """Write the pages, or name those that are not current."""
        # Imported late: the pages import every command, this one included.
        from savorychute.cmd.reference_pages import PAGES

        old = []
        for name, write in PAGES.items():
            path = arguments.directory / name
            text = write()
            if path.exists() and path.read_text('utf-8') == text:
                continue
            old.append(name)
            if not arguments.check:
                path.write_text(text, 'utf-8')
        verdict = 'old' if arguments.check else 'written'
        print(
            '\n'.join(f'{name}: {verdict}' for name in old) or 'all pages are current'
        )
        return ExitCode.REFUSED if arguments.check and old else ExitCode.OK
