"""Settings of a client."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.http.client_pool import PoolSettings, ServerAddress


class ClientSettings(NamedTuple):
    """Initial addresses, the token, and limits for retries.

    ``seeds`` are addresses of some instances; the discovery response replaces
    them.  ``max_failures`` limits the retries after failures that may have wasted
    work; retries after refusals with 'not run' are limited only by the call's
    deadline.  Backoffs double from ``min_backoff_ms`` to ``max_backoff_ms``.
    """

    seeds: tuple[ServerAddress, ...]
    token: str
    discovery_timeout_ms: int = 2_000
    max_failures: int = 5
    max_redirects: int = 5
    min_backoff_ms: int = 20
    max_backoff_ms: int = 2_000
    pool: PoolSettings = PoolSettings()
