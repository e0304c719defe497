"""An endpoint's load as observed by its home."""

from __future__ import annotations

from typing import NamedTuple


class EndpointLoad(NamedTuple):
    """A relayed load report of an endpoint, identified by its hash in the group.

    ``age_ms`` includes the time for which the home held the report.
    """

    endpoint: int
    age_ms: int
    running: int
    waiting: int
    kv_free_share: float
    step_ms: float
