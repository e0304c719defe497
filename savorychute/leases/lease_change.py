"""A change of a lease."""

from __future__ import annotations

from typing import NamedTuple

ACQUIRED = 'acquired'
LAPSED = 'lapsed'
RELEASED = 'released'
SURRENDERED = 'surrendered'


class LeaseChange(NamedTuple):
    """This instance began or ceased to hold a lease, and why."""

    name: str
    change: str
    fencing: int
    why: str
