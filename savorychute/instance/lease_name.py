"""Names of leases."""

from __future__ import annotations

PLACEMENT = 'placement'


def name_lease(region: str) -> str:
    """Return the name of the lease under which a region's engines are ordered."""
    return f'{PLACEMENT}:{region}'
