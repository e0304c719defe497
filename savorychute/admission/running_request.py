"""A request that runs on an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class RunningRequest(NamedTuple):
    """A candidate for preemption.

    ``resumable`` is true if its endpoint can pause the stream and resume it
    later from its offset.
    """

    request_id: str
    tier: int
    resumable: bool
    started_ms: int
