"""A request that waits for its start."""

from __future__ import annotations

from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """What admission needs to know of a request.

    ``pool`` is a model's name or ``service:`` and a service's name.  ``tier``
    counts from 0, the highest.
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
