"""A region's members in a few bytes."""

from __future__ import annotations

from typing import NamedTuple


class RegionDigest(NamedTuple):
    """A hash over a region's members that are not dead.

    ``beat`` grows as long as representatives of the region are running.
    """

    region: str
    members: int
    hash: int
    beat: int
