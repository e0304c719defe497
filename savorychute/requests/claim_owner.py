"""Who claims a key."""

from __future__ import annotations

from typing import NamedTuple


class ClaimOwner(NamedTuple):
    """One incarnation of an instance."""

    instance: str
    incarnation: int
