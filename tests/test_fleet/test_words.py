"""Tests that names of the platform and of deployments stay out of the product."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r'op/config|keyed\.|(?<!x-)attempt-id|not-executed|server-signature|target-instance'
    r'|prefix-hash|log-append|log-read|log-newest|routeType|pathPrefix|apiKeys'
    r'|trafficSplit|/-/|server-limit|server-leaving',
    re.IGNORECASE,
)


def test_product_does_not_contain_platform_names():
    violations = [
        f'{path.relative_to(ROOT)}:{number}'
        for path in sorted((ROOT / 'savorychute').rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]

    assert violations == []


# A name of a deployment, or of one of its kinds of requests, in the code would mean
# that a decision is fitted to that deployment.
DEPLOYMENT_NAMES = re.compile(
    r'vukani|kochi|hooghly|malanadu|assetdesk|route-chatter|manifest-digest|pickup-note'
    r'|claim-lot|lot-lookup|hist-sum|warr-draft|fault-diag|recon-summary|serial-query'
    r'|fleetbench|quiet-1|scale-1|trouble-1',
    re.IGNORECASE,
)


def test_no_code_contains_names_of_a_deployment():
    folders = (ROOT / 'savorychute' / 'gateway', ROOT / 'platform')
    violations = [
        f'{path.relative_to(ROOT)}:{number}'
        for folder in folders
        for path in sorted(folder.rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if DEPLOYMENT_NAMES.search(line)
    ]

    assert violations == []
