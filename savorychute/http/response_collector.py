"""Collects the complete response of a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.http.call_failure import CallFailure
from savorychute.http.http_response import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.http.client_call import ClientCall

MAX_BODY_BYTES = 8 * 1024 * 1024


class ResponseCollector:
    """A response handler that collects a response, up to a maximum size.

    :param on_response: called with the complete response.
    :param on_failure: called if there is none.
    :param max_bytes: the size of the largest accepted body.
    :param can_send: called immediately before the first byte is sent; if it returns
        false, nothing is sent and the failure states so.
    :param on_part: called for each part that arrives.
    :param is_foreign: returns whether a response belongs to another request, by its
        headers.
    """

    def __init__(
        self,
        on_response: Callable[[HttpResponse], None],
        on_failure: Callable[[CallFailure], None],
        max_bytes: int = MAX_BODY_BYTES,
        can_send: Callable[[], bool] | None = None,
        on_part: Callable[[], None] | None = None,
        is_foreign: Callable[[dict[str, str]], bool] | None = None,
    ) -> None:
        self._on_response = on_response
        self._on_failure = on_failure
        self._max_bytes = max_bytes
        self._can_send = can_send
        self._on_part = on_part
        self._is_foreign = is_foreign
        self._status = 0
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._size_bytes = 0
        # The call, which is cancelled if the response is too large.
        self.call: ClientCall | None = None

    def about_to_send(self) -> bool:
        """Return whether the call is still wanted."""
        if self._can_send is None or self._can_send():
            return True
        self._on_failure(CallFailure(sent=False, broken=False, reason='too late'))
        return False

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Store the head."""
        if self._on_part is not None:
            self._on_part()
        self._status = status
        self._headers = headers
        if self._is_foreign is not None and self._is_foreign(headers):
            # The response to this call is still to come.
            self._abandon('response to another request')

    def response_data(self, data: bytes) -> None:
        """Store a part; end the call if the body exceeds the maximum size."""
        if self._on_part is not None:
            self._on_part()
        if self._is_too_large:
            return
        self._size_bytes += len(data)
        if not self._is_too_large:
            self._parts.append(data)
            return
        self._parts.clear()
        reason = f'response larger than {self._max_bytes} bytes'
        self._abandon(reason, too_large=True)

    def _abandon(self, reason: str, *, too_large: bool = False) -> None:
        """Close the connection, and report a failure."""
        if self.call is not None:
            self.call.cancel()
        self._on_failure(CallFailure(True, False, reason, too_large))

    @property
    def _is_too_large(self) -> bool:
        return self._size_bytes > self._max_bytes

    def response_ended(self) -> None:
        """Report the response."""
        if self._is_too_large:
            return
        body = b''.join(self._parts)
        self._on_response(HttpResponse(self._status, self._headers, body))

    def call_failed(self, failure: CallFailure) -> None:
        """Report the failure, unless one was reported."""
        if not self._is_too_large:
            self._on_failure(failure)
