"""The receiver of the events of an HTTP call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.http.call_failure import CallFailure


class ResponseHandler(Protocol):
    """Receives the events of one call in a fixed order.

    ``about_to_send`` comes first, then ``response_started``, any number of
    ``response_data``, and either ``response_ended`` or ``call_failed``.
    No event follows a cancellation.
    """

    def about_to_send(self) -> bool:
        """Return whether the request is still wanted; no byte was sent yet."""
        ...

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Handle the head of the response."""
        ...

    def response_data(self, data: bytes) -> None:
        """Handle a part of the body."""
        ...

    def response_ended(self) -> None:
        """Handle the end of a complete response."""
        ...

    def call_failed(self, failure: CallFailure) -> None:
        """Handle the failure; no event follows."""
        ...
