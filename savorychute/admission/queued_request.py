"""A request that waits to be started."""

from __future__ import annotations

from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """The attributes of a request that admission uses.

    ``pool`` is the name of a model, or ``service:`` followed by the name of a
    service.  ``tier`` starts at 0, the highest.
    """

    request_id: str
    organisation: str
    class_name: str
    tier: int
    pool: str
    arrival_ms: int
    deadline_ms: int
    first_token_target_ms: int
    size_bytes: int
    expected_tokens: int
    patient: bool
    weight: float
    minimum_share: float
