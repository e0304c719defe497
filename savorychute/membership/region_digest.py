"""A compact digest of a region's members."""

from __future__ import annotations

from typing import NamedTuple


class RegionDigest(NamedTuple):
    """A hash over a region's members that are not dead.

    ``beat`` increases as long as representatives of the region are running.
    """

    region: str
    members: int
    hash: int
    beat: int
