"""The outcome of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class RequestOutcome(NamedTuple):
    """The payload of the event ``request-finished``.

    ``first_token_ms`` counts from the arrival of the request and is -1 if there
    was no token.  ``target_met`` says whether it and the mean gap between tokens
    are within the targets of the class.
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
