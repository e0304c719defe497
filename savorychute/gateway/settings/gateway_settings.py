"""The validated settings of one gateway."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.settings.network_address import NetworkAddress  # noqa: TC001


class GatewaySettings(NamedTuple):
    """All settings; :mod:`savorychute.gateway.settings.table` describes each."""

    instance: str
    region: str
    failure_domain: str
    caller_address: NetworkAddress
    readiness_address: NetworkAddress
    discovery_address: NetworkAddress
    metrics_port: int
    peer_port: int
    tunnel_port: int
    store_address: NetworkAddress
    extension_paths: tuple[str, ...]
    extensions: tuple[str, ...]
    platform: str
    log_level: str
    memory_mb: float
    response_mb: float
    grace_s: float
    discovery_lifetime_ms: float
    drain_notice_ms: float
    configuration_notice_ms: float
    revoke_notice_ms: float
    refuse_unconfirmed_keys: bool
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    connect_timeout_ms: float
    store_timeout_ms: float
    duty_address: NetworkAddress | None
    duties: tuple[str, ...]
    server_policy: str
    speed_policy: str
    admission_policy: str
    usage_window_s: float
    usage_due_s: float
