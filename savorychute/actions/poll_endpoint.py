"""Poll an endpoint for its load and cache events."""

from __future__ import annotations

from typing import NamedTuple


class PollEndpoint(NamedTuple):
    """Fetch a load report; the host delivers ``LoadReported`` on success."""

    endpoint: str
    dialect: str
    host: str
    port: int
    cache_cursor: int
