"""Fixtures of the credit tests."""

from __future__ import annotations

import pytest

from benches.ledger_rig import LedgerRig, build_endpoints


@pytest.fixture
def make_cluster():
    """Return a function that builds a cluster of started instances."""

    def make(names='abcdefgh', endpoints=9, *, capacity=8, **options):
        cluster = LedgerRig(build_endpoints(endpoints, capacity=capacity), **options)
        cluster.start(*names)
        return cluster

    return make
