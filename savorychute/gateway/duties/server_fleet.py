"""The current or desired number of a service's endpoints in each failure domain.

Settings, log lines and the platform's interface call these endpoints servers.
"""

from __future__ import annotations

from typing import NamedTuple


class DomainFleet(NamedTuple):
    """The endpoints of one failure domain.

    The platform may take ``reclaimable`` endpoints away at any time, ``lasting`` ones
    never.
    """

    lasting: int = 0
    reclaimable: int = 0

    @property
    def total(self) -> int:
        """The number of endpoints of both kinds."""
        return self.lasting + self.reclaimable


class ServerFleet(NamedTuple):
    """The endpoints of one service by failure domain, and the reason for their number.

    ``replaced`` is the original number of endpoints; the loss of a failure domain's
    reclaimable endpoints never leaves fewer than that.
    """

    service: str
    domains: tuple[tuple[str, DomainFleet], ...]
    reason: str = ''
    replaced: int = 0

    @property
    def total(self) -> int:
        """The number of all endpoints."""
        return sum(fleet.total for _, fleet in self.domains)

    def remaining_after_reclaim(self) -> int:
        """Return how many endpoints remain after the largest possible reclaim."""
        return self.total - self.largest_reclaim()

    def largest_reclaim(self) -> int:
        """Return the largest number of endpoints that can be reclaimed together."""
        return max(fleet.reclaimable for _, fleet in self.domains)

    def price(self, prices: dict[str, float], reclaimable_price: float) -> float:
        """Return the price of one second of the whole fleet.

        :param prices: the price of a lasting endpoint in each failure domain.
        :param reclaimable_price: the price of a reclaimable endpoint as a share of
            that.
        """
        return sum(
            prices.get(domain, 1.0)
            * (fleet.lasting + reclaimable_price * fleet.reclaimable)
            for domain, fleet in self.domains
        )
