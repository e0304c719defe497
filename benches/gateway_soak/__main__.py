"""Command line of the gateway soak, ``python -m benches.gateway_soak``."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from benches.gateway_soak.callers import REQUEST_KINDS
from benches.gateway_soak.faults import FAULTS
from benches.gateway_soak.ledger import ONCE_KINDS
from benches.gateway_soak.play import play
from benches.gateway_soak.shapes import SHAPES

DEFAULT_DURATION_S = 20.0
MAX_LINES = 10
ALL_KINDS = sorted({*REQUEST_KINDS, *ONCE_KINDS})


def main() -> int:
    """Run the seeds; return 0 if every guarantee held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--seeds',
        type=int,
        default=1,
        help='number of consecutive seeds, starting with --seed',
    )
    parser.add_argument('--seconds', type=float, default=DEFAULT_DURATION_S)
    parser.add_argument('--gateways', type=int, default=4)
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument(
        '--older-copies',
        action='store_true',
        help='restore older copies of the store at times, and report usage',
    )
    parser.add_argument(
        '--statements',
        action='store_true',
        help='let endpoints state limits, leave and send Retry-After',
    )
    parser.add_argument(
        '--parts',
        action='store_true',
        help='let endpoints crash on a part of prompts, and send streams without chunks',
    )
    parser.add_argument(
        '--answers',
        action='store_true',
        help='let endpoints send responses without a length, twice, and without an end',
    )
    parser.add_argument(
        '--shapes',
        nargs='*',
        choices=list(SHAPES),
        metavar='SHAPE',
        help='let endpoints send responses of these shapes, each drawn by the seed; '
        f'without a name, of all: {", ".join(SHAPES)}',
    )
    parser.add_argument(
        '--kinds',
        nargs='+',
        choices=ALL_KINDS,
        default=list(REQUEST_KINDS),
        help='the kinds of request',
    )
    parser.add_argument(
        '--small-endpoints',
        action='store_true',
        help='let endpoints have few slots, and be full at times',
    )
    parser.add_argument(
        '--series',
        action='store_true',
        help='send series of signals, to callers that keep their connections',
    )
    parser.add_argument(
        '--faults', nargs='*', choices=list(FAULTS), help='the faults to choose from'
    )
    parser.add_argument(
        '--no-settle',
        action='store_true',
        help='do not wait until faults have ended and most requests succeed',
    )
    parser.add_argument('--keep', type=Path, help='a folder in which logs are kept')
    arguments = parser.parse_args()
    shapes = arguments.shapes
    if shapes == []:
        shapes = list(SHAPES)
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = (arguments.keep or Path(temporary)) / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(
                play(
                    random.Random(seed),
                    folder,
                    arguments.seconds,
                    arguments.gateways,
                    arguments.callers,
                    settle=not arguments.no_settle,
                    older_copies=arguments.older_copies,
                    statements=arguments.statements,
                    parts=arguments.parts,
                    answers=arguments.answers,
                    shapes=shapes or (),
                    kinds=arguments.kinds,
                    small_endpoints=arguments.small_endpoints,
                    series=arguments.series,
                    fault_names=arguments.faults,
                )
            )
        print(f'seed {seed}: {result.counts}, faults {result.faults}', flush=True)
        for line in result.violations[:MAX_LINES]:
            print(f'  BROKEN {line}')
        if len(result.violations) > MAX_LINES:
            print(f'  and {len(result.violations) - MAX_LINES} more')
        failed += bool(result.violations)
    print(f'{arguments.seeds - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
