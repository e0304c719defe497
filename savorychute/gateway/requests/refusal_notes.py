"""What a request that gets no endpoint is refused with."""

from __future__ import annotations

from savorychute.gateway.requests.refusal import Refusal
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

# Refused for want of endpoints: their entries change within about a second.
NO_ENDPOINT_RETRY_MS = 300


class RefusalNotes:
    """Remembers why endpoints did not take the request, and when to come back."""

    def __init__(self) -> None:
        self._retry_after_ms = 0
        self._is_overload = False

    def rejected(self, retry_after_ms: int) -> None:
        """Note that an endpoint turned the request away.

        :param retry_after_ms: what the endpoint said; 0 for nothing.
        """
        self._retry_after_ms = max(self._retry_after_ms, retry_after_ms)

    def overloaded(self, retry_after_ms: int) -> None:
        """Note that no endpoint has room.

        :param retry_after_ms: when there may be some.
        """
        self._retry_after_ms = retry_after_ms
        self._is_overload = True

    def make_refusal(self, reason: str) -> Refusal:
        """Return the answer to a request that did not run.

        :param reason: what ended it, if that was no overload.
        """
        retry_after_ms = self._retry_after_ms or NO_ENDPOINT_RETRY_MS
        if self._is_overload:
            return Refusal(
                ResultCode.OVERLOADED, Ran.NOT_RUN, 'overload', retry_after_ms
            )
        return Refusal(ResultCode.NO_ENDPOINT, Ran.NOT_RUN, reason, retry_after_ms)


def make_late_refusal() -> Refusal:
    """Return the answer to a request that did not run in its time."""
    return Refusal(ResultCode.NO_ENDPOINT, Ran.NOT_RUN, 'timeout', NO_ENDPOINT_RETRY_MS)
