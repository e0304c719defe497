"""A member's report of a tier that lacks capacity."""

from __future__ import annotations

from typing import NamedTuple


class TierShortage(NamedTuple):
    """The number of a tier's recent requests not served for lack of capacity."""

    service: str
    tier: int
    unserved: float
