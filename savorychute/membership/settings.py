"""Settings of membership."""

from __future__ import annotations

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Periods, limits and fan-outs.

    ``probe_period_ms`` is the time between two probes, ``probe_timeout_ms``
    the wait for a direct acknowledgement before others are asked to probe.
    ``suspicion_ms`` is the time to refute a suspicion; in the last
    ``challenge_ms`` of it each member pings the suspect itself.  ``pause_ms`` is
    the gap between two ticks from which the instance assumes that it was paused.
    ``updates_per_s`` and ``updates_burst`` limit the updates sent by gossip.
    ``listing_period_ms`` is the usual time between two listings by one member,
    ``listing_spacing_ms`` the minimum time between listings by any two members, so
    that a larger fleet does not read the platform's list more often.
    """

    probe_period_ms: int = 1_000
    probe_timeout_ms: int = 300
    indirect_probes: int = 3
    suspicion_ms: int = 3_000
    challenge_ms: int = 1_200
    pause_ms: int = 700
    gossip_period_ms: int = 250
    gossip_fanout: int = 2
    spread_factor: float = 2.0
    updates_per_message: int = 8
    updates_per_s: float = 30.0
    updates_burst: int = 200
    max_update_age_ms: int = 15_000
    digest_period_ms: int = 2_000
    representatives: int = 3
    settle_ms: int = 3_000
    region_silence_ms: int = 30_000
    dead_retry_period_ms: int = 5_000
    forget_dead_ms: int = 7_200_000
    max_dead: int = 1_500
    listing_period_ms: int = 10_000
    listing_spacing_ms: int = 0
    first_listing_period_ms: int = 1_000
    max_changes: int = 2_000
