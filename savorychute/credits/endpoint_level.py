"""The granted level of an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class EndpointLevel(NamedTuple):
    """Concurrent requests at an endpoint, identified by its hash in the group."""

    endpoint: int
    level: int
