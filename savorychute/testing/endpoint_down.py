"""The error of a stand-in that is not there."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class EndpointDownError(SavorychuteError):
    """The stand-in is down: a connection to it is refused."""

    code = ResultCode.ENDPOINT_FAILED
