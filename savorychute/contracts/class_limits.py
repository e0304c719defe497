"""The limits of one class of requests."""

from __future__ import annotations

from typing import NamedTuple


class ClassLimits(NamedTuple):
    """What a contract gives one class of one organisation.

    ``tier`` counts from 0, the highest.  ``minimum_share`` is the part of the
    organisation's starts that the class is guaranteed.  ``queue_requests`` and
    ``queue_wait_ms`` bound its queue on one instance.  ``priority`` is what
    engines are told; smaller is served first.
    """

    organisation: str
    name: str
    tier: int
    first_token_target_ms: int
    token_gap_target_ms: int
    timeout_ms: int
    weight: float
    idempotent: bool
    patient: bool
    minimum_share: float
    queue_requests: int
    queue_wait_ms: int
    priority: int
