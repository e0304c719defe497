"""The error of a failed call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import SavorychuteError

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class CallError(SavorychuteError):
    """There is no complete response, and the library does not retry.

    :param code: the numbered reason.
    :param ran: whether the request ran.
    :param message: details of this error.
    :param retry_after_ms: when a new call may succeed; 0 if unknown.
    :param request_id: the id of the last attempt in the system's logs, or empty.
    """

    def __init__(
        self,
        code: ResultCode,
        ran: Ran,
        message: str,
        retry_after_ms: int = 0,
        request_id: str = '',
    ) -> None:
        super().__init__(message)
        self.code = code
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.request_id = request_id
