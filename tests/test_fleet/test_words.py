"""The platform's names stay in its folder."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES = re.compile(
    r'op/config|keyed\.|(?<!x-)attempt-id|not-executed|server-signature|target-instance'
    r'|prefix-hash|log-append|log-read|log-newest|routeType|pathPrefix|apiKeys'
    r'|trafficSplit|/-/|server-limit|server-leaving',
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


# A deployment's name or one of its kinds of request in the code would be a decision that is
# fitted to it.
OF_A_DEPLOYMENT = re.compile(
    r'vukani|kochi|hooghly|malanadu|assetdesk|route-chatter|manifest-digest|pickup-note'
    r'|claim-lot|lot-lookup|hist-sum|warr-draft|fault-diag|recon-summary|serial-query'
    r'|fleetbench|quiet-1|scale-1|trouble-1',
    re.IGNORECASE,
)


def test_no_decision_knows_a_deployment():
    folders = (ROOT / 'savorychute' / 'gateway', ROOT / 'platform')
    strays = [
        f'{path.relative_to(ROOT)}:{number}'
        for folder in folders
        for path in sorted(folder.rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if OF_A_DEPLOYMENT.search(line)
    ]

    assert strays == []
