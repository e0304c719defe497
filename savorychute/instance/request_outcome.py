"""How a request ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class RequestOutcome(NamedTuple):
    """The payload of the event ``request-finished``.

    ``first_token_ms`` counts from arrival and is -1 if there was none.
    ``target_met`` compares it, and the mean gap between tokens, with the
    class's targets.
    """

    request_id: str
    organisation: str
    class_name: str
    tier: int
    pool: str
    code: ResultCode
    ran: Ran
    first_token_ms: int
    duration_ms: int
    token_gap_ms: float
    tokens: int
    wasted_tokens: int
    attempts: int
    target_met: bool
    weight: float
