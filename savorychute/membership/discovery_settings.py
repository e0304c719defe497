"""Settings of discovery answers."""

from __future__ import annotations

from typing import NamedTuple


class DiscoverySettings(NamedTuple):
    """How many instances a customer gets, and for how long.

    ``seats_per_share`` times the number of instances in the region times the
    customer's share gives its seats, at least ``min_seats``.  An answer lives
    between ``min_lifetime_ms`` and ``max_lifetime_ms``, drawn evenly, so that
    callers that asked together do not come back together.
    """

    min_seats: int = 3
    seats_per_share: float = 4.0
    far_seats: int = 1
    min_lifetime_ms: int = 30_000
    max_lifetime_ms: int = 90_000
