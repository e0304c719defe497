"""Policies that decide how many endpoints of which kind a service should have."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.duties.server_fleet import DomainFleet, ServerFleet
from savorychute.registry import Registry

if TYPE_CHECKING:
    from savorychute.gateway.configuration.service_scaling import ServiceScaling

# Lasting endpoints that each failure domain retains: they serve the most urgent streams
# when all other endpoints of a domain are reclaimed together.
MIN_LASTING_PER_DOMAIN = 1


class ServerPolicy(Protocol):
    """A policy for the number and kind of endpoints."""

    def __call__(
        self, current: ServerFleet, scaling: ServiceScaling
    ) -> ServerFleet | None:
        """Return the desired fleet, or None to leave the current one unchanged.

        :param current: the endpoints as the operators set them up.
        :param scaling: limits and prices.
        """
        ...


SERVER_POLICIES: Registry[ServerPolicy] = Registry('server policy')


@SERVER_POLICIES.register('as-found')
def leave_as_found(
    current: ServerFleet,  # noqa: ARG001
    scaling: ServiceScaling,  # noqa: ARG001
) -> ServerFleet | None:
    """Order nothing."""
    return None


@SERVER_POLICIES.register('reclaimable')
def prefer_reclaimable(
    current: ServerFleet, scaling: ServiceScaling
) -> ServerFleet | None:
    """Replace lasting endpoints by reclaimable ones, with spares for a domain's loss.

    All reclaimable endpoints of a failure domain may be taken away together. Each
    domain gets so many that the remaining endpoints are then no fewer than the original
    ones, so the loss degrades no service, and at other times there is spare capacity
    for load peaks. The fleet is changed only if the new one costs less than the current
    one.
    """
    domains = [domain for domain, _ in current.domains]
    if scaling.reclaimable_price is None or len(domains) < 2:
        return None
    lasting = max(MIN_LASTING_PER_DOMAIN, scaling.least)
    to_replace = current.total - lasting * len(domains)
    reclaimable = ceil(to_replace / (len(domains) - 1))
    if reclaimable <= 0 or lasting + reclaimable > scaling.most:
        return None
    desired = ServerFleet(
        current.service,
        tuple((domain, DomainFleet(lasting, reclaimable)) for domain in domains),
        f'{current.total}-stood,{lasting}+{reclaimable}-in-each-of-{len(domains)}',
        current.total,
    )
    prices = dict(scaling.prices)
    price = desired.price(prices, scaling.reclaimable_price)
    if price >= current.price(prices, scaling.reclaimable_price):
        return None
    return desired
