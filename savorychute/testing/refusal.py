"""The reason why an attempt of a call gave no complete answer."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.ran import Ran
from savorychute.result_code import ResultCode


class Refusal(NamedTuple):
    """A failed attempt; ``is_interrupted`` means that its answer had started."""

    code: ResultCode
    ran: Ran
    retry_after_ms: float = 0.0
    location: str = ''
    is_interrupted: bool = False


#: The connection broke without a reported outcome.
BROKEN = Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, is_interrupted=True)

#: No instance accepted the call.
NOT_READY = Refusal(ResultCode.NOT_READY, Ran.NOT_RUN)
