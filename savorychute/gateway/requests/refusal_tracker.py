"""Refusals of requests that no endpoint served."""

from __future__ import annotations

from savorychute.gateway.requests.refusal import Refusal
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

# For a request without a usable endpoint: entries of endpoints change within about 1 s.
NO_ENDPOINT_RETRY_MS = 300


class RefusalTracker:
    """Tracks why endpoints did not accept the request, and when to retry it."""

    def __init__(self) -> None:
        self._retry_after_ms = 0
        self._is_overload = False

    def record_rejection(self, retry_after_ms: int) -> None:
        """Record that an endpoint rejected the request.

        :param retry_after_ms: the delay that the endpoint stated; 0 for none.
        """
        self._retry_after_ms = max(self._retry_after_ms, retry_after_ms)

    def record_overload(self, retry_after_ms: int) -> None:
        """Record that no endpoint has capacity.

        :param retry_after_ms: the delay until there may be capacity.
        """
        self._retry_after_ms = retry_after_ms
        self._is_overload = True

    def make_refusal(self, reason: str) -> Refusal:
        """Return the refusal for a request that did not run.

        :param reason: why the request ended; an overload takes precedence.
        """
        retry_after_ms = self._retry_after_ms or NO_ENDPOINT_RETRY_MS
        if self._is_overload:
            return Refusal(
                ResultCode.OVERLOADED, Ran.NOT_RUN, 'overload', retry_after_ms
            )
        return Refusal(ResultCode.NO_ENDPOINT, Ran.NOT_RUN, reason, retry_after_ms)


def make_timeout_refusal() -> Refusal:
    """Return the refusal for a request that did not run before its deadline."""
    return Refusal(ResultCode.NO_ENDPOINT, Ran.NOT_RUN, 'timeout', NO_ENDPOINT_RETRY_MS)
