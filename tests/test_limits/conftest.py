"""Fixtures of the limit tests."""

from __future__ import annotations

import pytest

from benches.limiter_rig import LimiterSimulation, build_limits
from savorychute.limits import LimitSettings


@pytest.fixture
def make_cluster():
    """Return a function that builds a cluster of instances that know each other."""

    def make(names='abcdefgh', *, demand=0, settle_ms=20_000, limits=None):
        cluster = LimiterSimulation(LimitSettings(), limits or build_limits())
        cluster.max_running_ms = 400
        for name in names:
            cluster.start(name, demand=demand)
        cluster.run(settle_ms)
        return cluster

    return make
