"""``python -m savorychute.gateway``: runs only the command ``gateway``.

The other commands and their libraries are not loaded, so that a gateway needs little
memory.
"""

from __future__ import annotations

import argparse
import sys

from savorychute.cmd.gateway import Gateway
from savorychute.cmd.main import run_command


def main() -> int:
    """Run a gateway; return the exit code."""
    command = Gateway()
    parser = argparse.ArgumentParser(
        prog='python -m savorychute.gateway', description=command.summary
    )
    command.add_arguments(parser)
    parser.set_defaults(run=command.run)
    return run_command(parser.parse_args())


if __name__ == '__main__':
    sys.exit(main())
