"""How many idle connections an instance may keep to one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.configuration.service import Service

# More requests of one instance at one endpoint rarely end within its keep-alive time.
MAX_IDLE = 16
# Share of an endpoint's connections that may be idle, over all instances.  The others
# are for requests in progress: an endpoint resets connections beyond its limit.
IDLE_SHARE = 0.5


def idle_connections_per_endpoint(services: Iterable[Service], instances: int) -> int:
    """Return how many idle connections to one endpoint an instance may keep, at least 1.

    :param services: the services of the configuration.
    :param instances: the number of live instances, this one included.
    """
    limits = [each.max_connections for each in services if each.max_connections]
    if not limits:
        return MAX_IDLE
    return max(1, min(MAX_IDLE, int(IDLE_SHARE * min(limits) / max(1, instances))))
