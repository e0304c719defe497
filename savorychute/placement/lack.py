"""What a model lacks."""

from __future__ import annotations

from enum import IntEnum


class Lack(IntEnum):
    """Why a model needs another copy, the most urgent first."""

    ABSENT = 0
    """There is demand and no copy."""
    ONE_DOMAIN = 1
    """There is demand, and all copies share a failure domain."""
    CROWDED = 2
    """The demand fills too much of the places."""
    UNUSED = 3
    """A contract names the model, nobody asks for it, and there is no copy."""
