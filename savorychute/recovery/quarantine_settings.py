"""Settings of the quarantine."""

from __future__ import annotations

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """Times and limits of the quarantine.

    ``settle_ms`` is the time to wait for updates of other instances about the
    same crash, ``turn_ms`` the time in which an ambiguous request is run alone.
    Crashes within ``own_fault_window_ms`` of at least ``own_fault_endpoints``
    endpoints, and of ``own_fault_share`` of those in use, count as a fault of
    this instance's own network.  A suspect waits up to ``lane_ms`` for an
    endpoint on which this instance may run suspects; ``lane_turn_ms`` is the
    length of a turn if several instances share one.  ``fingerprints`` is the
    maximum number of fingerprints that are stored.
    """

    settle_ms: int = 300
    turn_ms: int = 2_000
    own_fault_endpoints: int = 3
    own_fault_share: float = 0.6
    own_fault_window_ms: int = 200
    lane_ms: int = 5_000
    lane_turn_ms: int = 1_500
    suspicion_lifetime_ms: int = 600_000
    quarantine_lifetime_ms: int = 3_600_000
    fingerprints: int = 4_096
    gossip_fanout: int = 6
    gossip_interval_ms: int = 1_000
    gossip_entries: int = 64
