"""Refuse a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class RefuseRequest(NamedTuple):
    """Send a caller the reason of a refusal and whether the request ran.

    ``location`` is the address of the instance to use instead, or empty.
    ``handle`` resumes an existing stream, or is empty.
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
