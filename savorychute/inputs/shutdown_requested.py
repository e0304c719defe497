"""A request to leave."""

from __future__ import annotations

from typing import NamedTuple


class ShutdownRequested(NamedTuple):
    """Leave gracefully: finish what is in progress, take nothing new."""
