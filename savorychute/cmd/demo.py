"""The command ``demo``."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import make_console, make_table

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.demo.tally import Tally

DEFAULT_SEED = 1


@COMMANDS.register('demo')
class Demo:
    """Demonstrate a small site under load and faults."""

    summary = 'run instances, stand-ins and callers in one process on loopback'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the seed."""
        parser.add_argument('--seed', type=int, default=DEFAULT_SEED, metavar='N')

    def run(self, arguments: Namespace) -> int:
        """Run the demonstration and print one JSON object as the last line."""
        # Imported here because few commands need the stand-ins.
        from savorychute.demo.script import run_script

        console = make_console()
        with console.status('starting') as status:

            def report(event: str) -> None:
                status.update(event)
                console.print(f'- {event}')

            tally, result = asyncio.run(run_script(arguments.seed, report))
        console.print(make_table('calls by class', _make_rows(tally)))
        json.dump(result, sys.stdout)
        sys.stdout.write('\n')
        is_clean = not (result['lost'] or result['duplicated'] or result['truncated'])
        return ExitCode.OK if is_clean else ExitCode.REFUSED


def _make_rows(tally: Tally) -> list[dict[str, object]]:
    return [
        {
            'class': name,
            'tier': counts.tier,
            'calls': counts.calls,
            'answered': counts.answered,
            'attainment': counts.attainment,
            'refused': counts.refused,
            'unknown': counts.unknown,
            'lost': counts.lost,
            'truncated': counts.truncated,
        }
        for name, counts in tally.classes.items()
    ]
