"""End the answer to a caller."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.ran import Ran
from savorychute.result_code import ResultCode


class FinishResponse(NamedTuple):
    """End an answer that was begun.

    Any code but ``OK`` ends it with an error event, so that a cut answer is
    never taken for a whole one.
    """

    request_id: str
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.RAN
    message: str = ''
    handle: str = ''
