"""Settings of a daemon's sockets."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.http.client_pool import PoolSettings, ServerAddress
from savorychute.http.http_limits import HttpLimits
from savorychute.wire.peer_keys import PeerKeys  # noqa: TC001


class HostSettings(NamedTuple):
    """Addresses on which a daemon listens and to which it connects, and its limits.

    Ports of 0 are chosen by the system.  ``host`` is the IP address at which
    others reach the instance; the daemon listens on ``bind_host``, or on ``host`` if
    that is empty.  ``leave_grace_ms`` is how long a leaving daemon continues to respond
    to callers that still have its address: the lifetime of discovery responses.
    """

    instance: str
    region: str
    failure_domain: str
    host: str
    log_address: ServerAddress
    list_address: ServerAddress
    peer_keys: PeerKeys
    bind_host: str = ''
    caller_port: int = 0
    peer_port: int = 0
    log_dialect: str = 'http'
    list_dialect: str = 'http'
    platform_timeout_ms: int = 3_000
    poll_timeout_ms: int = 1_000
    order_timeout_ms: int = 30_000
    leave_grace_ms: int = 30_000
    tls_certificate_file: str = ''
    tls_key_file: str = ''
    tls_reload_interval_ms: int = 60_000
    http: HttpLimits = HttpLimits()
    pool: PoolSettings = PoolSettings()
