"""Play the days of this folder and print a table of what came of them."""

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

# Half of the processors of the usual machine, so that no day is given up for want of one.
JOBS = 4
FAILED_STATUS = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Play days; return 1 if one broke a rule or could not be played."""
    parser = argparse.ArgumentParser(prog='python -m benches.days')
    parser.add_argument('--bench', type=Path, required=True, help="the bench's program")
    parser.add_argument('--why', required=True, help='a line for its journal')
    parser.add_argument('--jobs', type=int, default=JOBS, help='days at a time')
    parser.add_argument('--day', action='append', default=[], help='only these')
    parser.add_argument('sites', type=Path, nargs='+', help='site files')
    options = parser.parse_args(arguments)
    player = DayPlayer(options.bench, options.why, options.jobs)
    days = read_days(options.day)
    results = asyncio.run(play_all(player, options.sites, days))
    print('| site | day | worth | served | refused | failed | broken |')
    print('|---|---|---|---|---|---|---|')
    for result in results:
        print(result.row())
    bad = [each for each in results if each.broken or each.trouble]
    return FAILED_STATUS if bad else 0


if __name__ == '__main__':
    sys.exit(main())
