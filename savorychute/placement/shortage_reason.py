"""The reasons why a model needs another replica."""

from __future__ import annotations

from enum import IntEnum


class ShortageReason(IntEnum):
    """Why a model needs another replica, the most urgent reason first."""

    ABSENT = 0
    """There is demand and no replica."""
    ONE_DOMAIN = 1
    """There is demand, and all replicas share a failure domain."""
    CROWDED = 2
    """The demand exceeds the target utilisation of the replicas."""
    UNUSED = 3
    """A contract names the model; there is no demand and no replica."""
