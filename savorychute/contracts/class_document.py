"""A class of requests in a contract."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class ClassDocument(TypedDict):
    """A class of an organisation's requests.

    ``tier`` counts from 0, the highest.  ``weight`` is the contribution of one
    answer to goodput.  ``minimum_share`` is the fraction of the organisation's
    starts that the class gets even if higher classes could use all of them.
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
