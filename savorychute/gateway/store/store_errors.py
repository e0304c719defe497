"""How a call to the platform's store fails."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class StoreUnavailableError(SavorychuteError):
    """The store did not answer, or refused the call; it may have taken effect."""

    code = ResultCode.LOG_UNAVAILABLE


class HistoryLostError(SavorychuteError):
    """The records from the offset on are no longer kept; list the topic anew."""

    code = ResultCode.LOG_UNAVAILABLE


class WriteConflictError(SavorychuteError):
    """The topic did not end at the expected offset; nothing was written."""

    code = ResultCode.VERSION_CONFLICT


class WriteFencedError(StoreUnavailableError):
    """The store has taken a later write of this writer; nothing was written."""
