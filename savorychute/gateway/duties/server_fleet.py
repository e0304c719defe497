"""How many endpoints of a service stand, or are wanted, in each failure domain."""

from __future__ import annotations

from typing import NamedTuple


class DomainFleet(NamedTuple):
    """Endpoints in one failure domain: those that stay, and those that may be taken away."""

    lasting: int = 0
    reclaimable: int = 0

    @property
    def total(self) -> int:
        """All of them."""
        return self.lasting + self.reclaimable


class ServerFleet(NamedTuple):
    """The endpoints of one service by failure domain, and why so many.

    ``replaced`` is how many stood before; what is left after a loss is never less.
    """

    service: str
    domains: tuple[tuple[str, DomainFleet], ...]
    reason: str = ''
    replaced: int = 0

    @property
    def total(self) -> int:
        """All endpoints."""
        return sum(fleet.total for _, fleet in self.domains)

    def after_reclaim(self) -> int:
        """Return how many are left when the most that can be taken at once are."""
        return self.total - self.largest_reclaim()

    def largest_reclaim(self) -> int:
        """Return the most endpoints that can be taken away together."""
        return max(fleet.reclaimable for _, fleet in self.domains)

    def price(self, prices: dict[str, float], reclaimable_price: float) -> float:
        """Return what a second of all of them costs.

        :param prices: of a lasting endpoint, by failure domain.
        :param reclaimable_price: of a reclaimable one, as a part of that.
        """
        return sum(
            prices.get(domain, 1.0)
            * (fleet.lasting + reclaimable_price * fleet.reclaimable)
            for domain, fleet in self.domains
        )
