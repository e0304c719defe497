"""Settings of the quarantine."""

from __future__ import annotations

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """Times and bounds of the quarantine.

    ``settle_ms`` is how long other instances' news of the same crash is waited
    for, ``turn_ms`` how long an ambiguous request may take to be tried alone.
    Crashes within ``own_fault_window_ms`` of at least ``own_fault_endpoints``
    endpoints, and of ``own_fault_share`` of those in use, are taken for a fault of
    this instance's own network.  A suspect waits ``lane_ms`` for an endpoint that
    is this instance's to try suspects on, ``lane_turn_ms`` is a turn where several
    instances share one.  ``fingerprints``
    bounds how many are remembered.
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
