"""Limits and prices of the endpoints that may be ordered for a service."""

from __future__ import annotations

from typing import NamedTuple


class ServiceScaling(NamedTuple):
    """Limits and prices for each failure domain.

    ``least`` and ``most`` apply to lasting and reclaimable endpoints together.
    ``prices`` states the price of an endpoint per second, by failure domain.
    ``reclaimable_price`` is the share of it that a reclaimable endpoint costs; None if
    there are no reclaimable endpoints.
    """

    least: int
    most: int
    reclaimable_price: float | None
    prices: tuple[tuple[str, float], ...]
