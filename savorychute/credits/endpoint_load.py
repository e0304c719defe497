"""An endpoint's load as its home has seen it."""

from __future__ import annotations

from typing import NamedTuple


class EndpointLoad(NamedTuple):
    """A load report passed on, the endpoint named by its hash in the group.

    ``age_ms`` includes the time that the home held it.
    """

    endpoint: int
    age_ms: int
    running: int
    waiting: int
    kv_free_share: float
    step_ms: float
