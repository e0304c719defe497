"""Fixtures of the gateway's tests."""

from __future__ import annotations

import pytest
from gateway_fakes import make_scene


@pytest.fixture
def scene():
    """One gateway with three plain endpoints and three engines."""
    return make_scene()
