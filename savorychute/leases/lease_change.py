"""A change of a lease."""

from __future__ import annotations

from typing import NamedTuple

ACQUIRED = 'acquired'
LAPSED = 'lapsed'
RELEASED = 'released'
SURRENDERED = 'surrendered'


class LeaseChange(NamedTuple):
    """The start or end of holding a lease, with the reason."""

    name: str
    change: str
    fencing: int
    why: str
