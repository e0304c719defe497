"""The owner of a claim."""

from __future__ import annotations

from typing import NamedTuple


class ClaimOwner(NamedTuple):
    """The incarnation of an instance that claimed a key."""

    instance: str
    incarnation: int
