"""The limits of one class of requests."""

from __future__ import annotations

from typing import NamedTuple


class ClassLimits(NamedTuple):
    """The limits of one class of one organisation.

    ``tier`` counts from 0, the highest.  ``minimum_share`` is the fraction of the
    organisation's starts that is guaranteed to the class.  ``queue_requests`` and
    ``queue_wait_ms`` limit its queue on one instance.  ``priority`` is sent to
    engines; requests with smaller values are served first.
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
