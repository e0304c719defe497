"""Who gets the events of an HTTP call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.http.call_failure import CallFailure


class ResponseHandler(Protocol):
    """Receiver of one call's events, in this order.

    ``about_to_send`` comes first, then ``response_started``, any number of
    ``response_data``, and one of ``response_ended`` and ``call_failed``.
    After a cancel nothing more comes.
    """

    def about_to_send(self) -> bool:
        """Return whether the request is still wanted; no byte has left yet."""
        ...

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the response."""
        ...

    def response_data(self, data: bytes) -> None:
        """Take a part of the body."""
        ...

    def response_ended(self) -> None:
        """Take the end of a whole response."""
        ...

    def call_failed(self, failure: CallFailure) -> None:
        """Take the failure; nothing follows."""
        ...
