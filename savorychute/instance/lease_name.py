"""Names of leases."""

from __future__ import annotations

PLACEMENT_PREFIX = 'placement'


def name_lease(region: str) -> str:
    """Return the name of the lease that permits orders to a region's engines."""
    return f'{PLACEMENT_PREFIX}:{region}'
