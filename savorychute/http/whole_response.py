"""Calls whose response is small and read whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.http.call_failure import CallFailure
from savorychute.http.http_response import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

BODY_BOUND_BYTES = 8 * 1024 * 1024


class WholeResponse:
    """A handler that collects a response, up to a bound.

    :param on_response: called with the whole response.
    :param on_failure: called if there is none.
    :param bound_bytes: the largest body taken.
    :param may_send: asked right before the first byte; if it says no, nothing
        is sent and the failure says so.
    :param on_part: called with each part that arrives.
    """

    def __init__(
        self,
        on_response: Callable[[HttpResponse], None],
        on_failure: Callable[[CallFailure], None],
        bound_bytes: int = BODY_BOUND_BYTES,
        may_send: Callable[[], bool] | None = None,
        on_part: Callable[[], None] | None = None,
    ) -> None:
        self._on_response = on_response
        self._on_failure = on_failure
        self._bound_bytes = bound_bytes
        self._may_send = may_send
        self._on_part = on_part
        self._status = 0
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def about_to_send(self) -> bool:
        """Return whether the call is still wanted."""
        if self._may_send is None or self._may_send():
            return True
        self._on_failure(CallFailure(sent=False, broken=False, reason='too late'))
        return False

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Keep the head."""
        if self._on_part is not None:
            self._on_part()
        self._status = status
        self._headers = headers

    def response_data(self, data: bytes) -> None:
        """Keep a part, unless the body has grown beyond the bound."""
        if self._on_part is not None:
            self._on_part()
        self._size_bytes += len(data)
        if self._size_bytes <= self._bound_bytes:
            self._parts.append(data)

    def response_ended(self) -> None:
        """Hand over the response."""
        if self._size_bytes > self._bound_bytes:
            reason = f'response larger than {self._bound_bytes} bytes'
            self._on_failure(CallFailure(sent=True, broken=False, reason=reason))
            return
        body = b''.join(self._parts)
        self._on_response(HttpResponse(self._status, self._headers, body))

    def call_failed(self, failure: CallFailure) -> None:
        """Hand over the failure."""
        self._on_failure(failure)
