"""How many endpoints of a service to order, of which kind, in which failure domain."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.duties.server_fleet import DomainFleet, ServerFleet
from savorychute.registry import Registry

if TYPE_CHECKING:
    from savorychute.gateway.configuration.service_scaling import ServiceScaling

# Lasting endpoints that each failure domain keeps: they serve the most urgent streams while
# all others of a domain are taken away together.
KEPT_LASTING = 1


class ServerPolicy(Protocol):
    """One way to decide."""

    def __call__(
        self, standing: ServerFleet, scaling: ServiceScaling
    ) -> ServerFleet | None:
        """Return what is wanted instead of what stands, or None to leave it.

        :param standing: the endpoints as their operators set them up.
        :param scaling: bounds and prices.
        """
        ...


SERVER_POLICIES: Registry[ServerPolicy] = Registry('server policy')


@SERVER_POLICIES.register('as-found')
def leave_as_found(
    standing: ServerFleet,  # noqa: ARG001
    scaling: ServiceScaling,  # noqa: ARG001
) -> ServerFleet | None:
    """Order nothing."""
    return None


@SERVER_POLICIES.register('reclaimable')
def prefer_reclaimable(
    standing: ServerFleet, scaling: ServiceScaling
) -> ServerFleet | None:
    """Replace lasting endpoints by reclaimable ones, with enough to lose a domain's.

    All reclaimable endpoints of a failure domain may be taken away together.  As many are
    wanted in each domain that what is left then is no less than what stood before, so
    nobody is served worse by the loss, and at other times there is more room for crowds.
    It is done only where it costs less than what stands.
    """
    domains = [domain for domain, _ in standing.domains]
    if scaling.reclaimable_price is None or len(domains) < 2:
        return None
    lasting = max(KEPT_LASTING, scaling.least)
    lost = standing.total - lasting * len(domains)
    each = ceil(lost / (len(domains) - 1))
    if each <= 0 or lasting + each > scaling.most:
        return None
    wanted = ServerFleet(
        standing.service,
        tuple((domain, DomainFleet(lasting, each)) for domain in domains),
        f'{standing.total}-stood,{lasting}+{each}-in-each-of-{len(domains)}',
        standing.total,
    )
    prices = dict(scaling.prices)
    price = wanted.price(prices, scaling.reclaimable_price)
    if price >= standing.price(prices, scaling.reclaimable_price):
        return None
    return wanted
