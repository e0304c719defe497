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
    """Generate the reference pages from the code."""

    summary = 'generate the reference pages from the code'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the directory and ``--check``."""
        parser.add_argument(
            '--directory',
            type=Path,
            default=DEFAULT_DIRECTORY,
            help='directory of the pages (default docs/reference)',
        )
        parser.add_argument(
            '--check',
            action='store_true',
            help='write nothing; fail if a page is out of date',
        )

    def run(self, arguments: Namespace) -> int:
        """Write the pages, or list those that are out of date."""
        # Imported here because the pages import every command, including this one.
        from savorychute.cmd.reference_pages import PAGES

        outdated = []
        for name, write in PAGES.items():
            path = arguments.directory / name
            text = write()
            if path.exists() and path.read_text('utf-8') == text:
                continue
            outdated.append(name)
            if not arguments.check:
                path.write_text(text, 'utf-8')
        status = 'old' if arguments.check else 'written'
        print(
            '\n'.join(f'{name}: {status}' for name in outdated)
            or 'all pages are current'
        )
        return ExitCode.REFUSED if arguments.check and outdated else ExitCode.OK
