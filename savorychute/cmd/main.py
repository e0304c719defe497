"""The entry point of the command line."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from savorychute.cmd.exit_code import ExitCode
from savorychute.errors import SavorychuteError, SettingsError

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    :param argv: the arguments; those of the process if ``None``.
    :returns: an :class:`~savorychute.cmd.exit_code.ExitCode`.
    """
    # Imported here because it loads every command with its libraries.
    from savorychute.cmd.parser import build_parser, load_commands

    load_commands()
    return run_command(build_parser().parse_args(argv))


def run_command(arguments: Namespace) -> int:
    """Run the parsed command and print its errors.

    :param arguments: the parsed arguments; ``run`` is the command's method.
    :returns: an :class:`~savorychute.cmd.exit_code.ExitCode`.
    """
    try:
        return int(arguments.run(arguments))
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return ExitCode.REFUSED
    except SavorychuteError as error:
        print(f'error {error.code.number}: {error.message}', file=sys.stderr)
        return ExitCode.REFUSED
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


if __name__ == '__main__':
    sys.exit(main())
