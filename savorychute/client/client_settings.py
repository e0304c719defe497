"""Settings of a client."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.http.client_pool import PoolSettings, ServerAddress


class ClientSettings(NamedTuple):
    """Whom to ask first, with which token, and how often to try.

    ``seeds`` are addresses of some instances; the answer to discovery replaces
    them.  ``max_failures`` bounds the tries after a failure that may have
    cost work; refusals that say 'not run' are bounded by the call's deadline
    alone.  Waits double from ``min_backoff_ms`` to ``max_backoff_ms``.
    """

    seeds: tuple[ServerAddress, ...]
    token: str
    discovery_timeout_ms: int = 2_000
    max_failures: int = 5
    max_redirects: int = 5
    min_backoff_ms: int = 20
    max_backoff_ms: int = 2_000
    pool: PoolSettings = PoolSettings()
