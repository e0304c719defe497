"""The platform's names stay in its folder."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES = re.compile(
    r'op/config|keyed\.|(?<!x-)attempt-id|not-executed|server-signature|target-instance'
    r'|prefix-hash|log-append|log-read|log-newest|routeType|pathPrefix|apiKeys'
    r'|trafficSplit|/-/',
    re.IGNORECASE,
)


def test_the_product_does_not_know_the_platforms_names():
    strays = [
        f'{path.relative_to(ROOT)}:{number}'
        for path in sorted((ROOT / 'savorychute').rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]

    assert strays == []
