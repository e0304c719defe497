"""A request to shut down."""

from __future__ import annotations

from typing import NamedTuple


class ShutdownRequested(NamedTuple):
    """Shut down gracefully: finish requests in progress, refuse new ones."""
