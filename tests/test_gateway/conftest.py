"""Fixtures for the gateway tests."""

from __future__ import annotations

import pytest
from gateway_fakes import make_gateway


@pytest.fixture
def gateway():
    """Return a gateway with three plain endpoints and three engines."""
    return make_gateway()
