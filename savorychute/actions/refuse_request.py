"""Answer a request without a body of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class RefuseRequest(NamedTuple):
    """Tell a caller why there is no answer, and whether the request ran.

    ``location`` is the address of the instance to ask instead, or empty.
    ``handle`` resumes a stream that exists, or is empty.
    """

    request_id: str
    code: ResultCode
    ran: Ran
    message: str
    retry_after_ms: int = 0
    location: str = ''
    attempt_id: str = ''
    endpoint: str = ''
    handle: str = ''
