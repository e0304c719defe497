"""The validated settings of one instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.settings.network_address import NetworkAddress  # noqa: TC001
from savorychute.wire.peer_keys import PeerKeys  # noqa: TC001


class Settings(NamedTuple):
    """All settings; :data:`savorychute.settings.table.SETTINGS` describes each."""

    instance: str
    region: str
    failure_domain: str
    host: str
    bind_host: str
    caller_port: int
    peer_port: int
    operator_token_hashes: dict[str, str]
    log_address: NetworkAddress
    log_dialect: str
    list_address: NetworkAddress
    list_dialect: str
    peer_keys: PeerKeys
    tls_certificate_file: str
    tls_key_file: str
    tls_reload_interval_ms: int
    log_level: str
    extensions: tuple[str, ...]
    router: str
    admission: str
    max_connections: int
    max_header_bytes: int
    max_body_bytes: int
    max_buffers_bytes: int
    header_timeout_ms: int
    body_timeout_ms: int
    idle_timeout_ms: int
    stalled_timeout_ms: int
    connect_timeout_ms: int
    platform_timeout_ms: int
    poll_timeout_ms: int
    order_timeout_ms: int
    leave_grace_ms: int
    max_retries: int
    first_progress_timeout_ms: int
    gap_timeout_ms: int
    max_queued_requests: int
    max_queued_bytes: int
    probe_interval_ms: int
    probe_timeout_ms: int
    suspicion_ms: int
    gossip_interval_ms: int
    listing_interval_ms: int
    discovery_seats: int
    discovery_min_lifetime_ms: int
    discovery_max_lifetime_ms: int
    configuration_poll_interval_ms: int
    endpoint_subset: int
    load_poll_interval_ms: int
    ejection_ms: int
    quarantine_lifetime_ms: int
    key_lifetime_ms: int
    outcome_lifetime_ms: int
    max_outcomes: int
    max_outcomes_bytes: int
