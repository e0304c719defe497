"""How much of an endpoint is granted."""

from __future__ import annotations

from typing import NamedTuple


class EndpointLevel(NamedTuple):
    """Concurrent requests at an endpoint, named by its hash in the group."""

    endpoint: int
    level: int
