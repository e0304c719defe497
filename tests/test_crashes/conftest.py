"""Fixtures of the tests of crashes."""

from __future__ import annotations

import pytest
from crash_court import Court


@pytest.fixture
def court():
    return Court()
