"""End the response to a caller."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.ran import Ran
from savorychute.result_code import ResultCode


class FinishResponse(NamedTuple):
    """End a response that was started.

    Any code but ``OK`` ends it with an error event, so that a truncated
    response is never taken for a complete one.
    """

    request_id: str
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.RAN
    message: str = ''
    handle: str = ''
