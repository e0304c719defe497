"""One class of requests, as a contract writes it."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class ClassDocument(TypedDict):
    """An organisation's kind of request.

    ``tier`` counts from 0, the highest.  ``weight`` is what one answer counts
    for goodput.  ``minimum_share`` is the part of the organisation's starts that
    the class gets even when higher classes would take all of them.
    """

    name: str
    tier: int
    first_token_target_ms: int
    token_gap_target_ms: int
    timeout_ms: int
    weight: float
    idempotent: bool
    patient: NotRequired[bool]
    minimum_share: NotRequired[float]
