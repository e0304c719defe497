"""Fixtures of the request tests."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from key_fixture import KeyFixture


@pytest.fixture
def cluster():
    return KeyFixture()
