"""Settings of discovery answers."""

from __future__ import annotations

from typing import NamedTuple


class DiscoverySettings(NamedTuple):
    """How many instances an organisation gets, and for how long.

    ``min_seats`` are in the region of the instance that answers, ``far_seats``
    elsewhere.  Instances above ``busy_ratio`` times the mean load are passed
    over at times.  An answer lives between ``min_lifetime_ms`` and
    ``max_lifetime_ms``, drawn evenly, so that callers that asked together do
    not come back together.
    """

    min_seats: int = 3
    far_seats: int = 1
    busy_ratio: float = 1.1
    min_lifetime_ms: int = 30_000
    max_lifetime_ms: int = 90_000
