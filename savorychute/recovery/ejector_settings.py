"""Settings of outlier ejection."""

from __future__ import annotations

from typing import NamedTuple


class EjectorSettings(NamedTuple):
    """When endpoints are ejected, for how long, and how many at most.

    ``ejected_share_max`` limits ejection for errors, ``crashed_share_max`` for
    crashes; the last endpoint of a pool is never ejected.  An ejection lasts
    ``ejection_ms``, doubled with each consecutive one up to
    ``ejection_max_ms``; then the share of requests grows over ``ramp_ms``.  An
    endpoint that announced that it is leaving is tried again after
    ``leaving_lifetime_ms`` if it sends no load reports.
    """

    ejected_share_max: float = 0.5
    crashed_share_max: float = 0.8
    consecutive_failures: int = 5
    failure_share: float = 0.5
    failure_samples: int = 20
    ejection_ms: int = 1_000
    ejection_max_ms: int = 30_000
    ramp_ms: int = 10_000
    ramp_floor: float = 0.1
    leaving_grace_ms: int = 1_000
    leaving_lifetime_ms: int = 600_000
    suspicion_lifetime_ms: int = 600_000
