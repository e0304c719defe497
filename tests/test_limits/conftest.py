"""Fixtures of limit tests."""

from __future__ import annotations

import pytest

from benches.limiter_rig import LimiterRig, build_limits
from savorychute.limits import LimitSettings


@pytest.fixture
def make_rig():
    """Return a function that builds a rig whose instances know each other."""

    def make(names='abcdefgh', *, greed=0, settle_ms=20_000, limits=None):
        rig = LimiterRig(LimitSettings(), limits or build_limits())
        rig.hold_ms = 400
        for name in names:
            rig.start(name, greed=greed)
        rig.run(settle_ms)
        return rig

    return make
