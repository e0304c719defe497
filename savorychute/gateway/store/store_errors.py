"""Errors of calls to the platform's store."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class StoreUnavailableError(SavorychuteError):
    """The store did not respond or refused the call; it may still have taken effect."""

    code = ResultCode.LOG_UNAVAILABLE


class HistoryLostError(SavorychuteError):
    """The records from the offset on are no longer kept; list the topic again.

    :param message: what was read.
    :param first: the first offset that is kept, if the store states it.
    """

    code = ResultCode.LOG_UNAVAILABLE

    def __init__(self, message: str, first: int = 0) -> None:
        super().__init__(message)
        self.first = first


class WriteConflictError(SavorychuteError):
    """The topic did not end at the expected offset; nothing was written."""

    code = ResultCode.VERSION_CONFLICT


class WriteFencedError(StoreUnavailableError):
    """The store has accepted a later write of this writer; nothing was written."""
