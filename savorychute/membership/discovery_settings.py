"""Settings of discovery."""

from __future__ import annotations

from typing import NamedTuple


class DiscoverySettings(NamedTuple):
    """The number of instances per organisation and the lifetime of a response.

    At least ``min_seats`` instances are in the region of the responding instance,
    ``far_seats`` in other regions.  Instances above ``busy_ratio`` times the mean
    load are skipped with some probability.  The lifetime of a response is drawn
    uniformly between ``min_lifetime_ms`` and ``max_lifetime_ms``, so that callers
    that asked at the same time do not all ask again at the same time.
    """

    min_seats: int = 3
    far_seats: int = 1
    busy_ratio: float = 1.1
    min_lifetime_ms: int = 30_000
    max_lifetime_ms: int = 90_000
