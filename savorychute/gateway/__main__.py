"""``python -m savorychute.gateway``: the command ``gateway`` alone.

A gateway runs in little memory; the other commands and their libraries are not loaded.
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
