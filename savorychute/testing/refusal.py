"""Why a try of a call gave no whole answer."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.ran import Ran
from savorychute.result_code import ResultCode


class Refusal(NamedTuple):
    """What the caller was told; ``is_cut`` says that an answer broke off."""

    code: ResultCode
    ran: Ran
    retry_after_ms: float = 0.0
    location: str = ''
    is_cut: bool = False


#: The connection broke; nobody told anything.
BROKEN = Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, is_cut=True)

#: No instance took the call.
UNREADY = Refusal(ResultCode.NOT_READY, Ran.NOT_RUN)
