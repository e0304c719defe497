"""How many endpoints of a service may be ordered, and at what price."""

from __future__ import annotations

from typing import NamedTuple


class ServiceScaling(NamedTuple):
    """Bounds and prices, for each failure domain.

    ``least`` and ``most`` hold for lasting and reclaimable endpoints together.  A second of
    an endpoint costs the figure of its failure domain; of a reclaimable one
    ``reclaimable_price`` of it, None if there are none.
    """

    least: int
    most: int
    reclaimable_price: float | None
    prices: tuple[tuple[str, float], ...]
