"""Run the days of ``deploy/days`` and print a table of the results."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from benches.days.day_file import read_days
from benches.days.day_player import DayPlayer, play_all

if TYPE_CHECKING:
    from collections.abc import Sequence

# Half of the processors of the usual machine, so that no day fails on a busy machine.
JOBS = 4
FAILED_STATUS = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run days; return 1 if one broke a rule or could not be run."""
    parser = argparse.ArgumentParser(prog='python -m benches.days')
    parser.add_argument(
        '--bench', type=Path, required=True, help="the bench's executable"
    )
    parser.add_argument(
        '--why', required=True, help='the reason, for the journal of the bench'
    )
    parser.add_argument(
        '--jobs', type=int, default=JOBS, help='number of days that run at once'
    )
    parser.add_argument(
        '--day', action='append', default=[], help='run only this day; may be repeated'
    )
    parser.add_argument('sites', type=Path, nargs='+', help='site files')
    options = parser.parse_args(arguments)
    player = DayPlayer(options.bench, options.why, options.jobs)
    days = read_days(options.day)
    results = asyncio.run(play_all(player, options.sites, days))
    print('| site | day | worth | served | refused | failed | broken |')
    print('|---|---|---|---|---|---|---|')
    for result in results:
        print(result.row())
    failed = [
        day_result for day_result in results if day_result.broken or day_result.error
    ]
    return FAILED_STATUS if failed else 0


if __name__ == '__main__':
    sys.exit(main())
