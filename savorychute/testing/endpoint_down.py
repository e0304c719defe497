"""The error of a stand-in that is down."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class EndpointDownError(SavorychuteError):
    """The stand-in is down and refuses connections."""

    code = ResultCode.ENDPOINT_FAILED
