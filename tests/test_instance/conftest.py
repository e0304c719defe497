"""Shared fixtures of the instance tests."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from savorychute.testing.solo import (
    OTHER_ORGANISATION,
    OTHER_TOKEN,
    Solo,
    make_contract,
    make_engine,
)

sys.path.insert(0, str(Path(__file__).parent))

READY_MS = 5_000


@pytest.fixture
def solo():
    host = Solo(
        contracts=[
            make_contract(),
            make_contract(OTHER_ORGANISATION, OTHER_TOKEN, pool_share=0.2),
        ],
        endpoints=[make_engine('engine-1'), make_engine('engine-2')],
    )
    host.run_for(READY_MS)
    assert host.instance.ready
    host.actions.clear()
    return host
