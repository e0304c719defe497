"""``python -m benches.gateway_soak``."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from benches.gateway_soak.play import play

DEFAULT_S = 20.0


def main() -> int:
    """Play seeds; return 0 if every promise held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='how many, from --seed on')
    parser.add_argument('--seconds', type=float, default=DEFAULT_S)
    parser.add_argument('--gateways', type=int, default=4)
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument(
        '--older-copies',
        action='store_true',
        help='let the store go back now and then, and report usage',
    )
    parser.add_argument(
        '--statements',
        action='store_true',
        help='let endpoints state limits, leave and ask for rest',
    )
    parser.add_argument('--keep', type=Path, help='a folder for the logs')
    arguments = parser.parse_args()
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
                    older_copies=arguments.older_copies,
                    statements=arguments.statements,
                )
            )
        print(f'seed {seed}: {result.counts}, faults {result.faults}', flush=True)
        for line in result.broken:
            print(f'  BROKEN {line}')
        failed += bool(result.broken)
    print(f'{arguments.seeds - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
