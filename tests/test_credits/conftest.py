"""Fixtures of credit tests."""

from __future__ import annotations

import pytest

from benches.ledger_rig import LedgerRig, build_endpoints


@pytest.fixture
def make_rig():
    """Return a function that builds a rig of started instances."""

    def make(names='abcdefgh', endpoints=9, *, capacity=8, **options):
        rig = LedgerRig(build_endpoints(endpoints, capacity=capacity), **options)
        rig.start(*names)
        return rig

    return make
