"""One HTTP call in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.http.call_failure import CallFailure

if TYPE_CHECKING:
    import asyncio

    from savorychute.http.client_connection import ClientConnection
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.response_handler import ResponseHandler


class ClientCall:
    """A call, from waiting for a connection until its end.

    :param request: the request to send.
    :param handler: the receiver of the call's events.
    """

    __slots__ = (
        '_connection',
        '_paused',
        '_request',
        'calls_before',
        'cancelled',
        'connecting',
        'handler',
        'sent',
    )

    def __init__(self, request: HttpRequest, handler: ResponseHandler) -> None:
        # None once it has been sent, or will not be: the endpoint's response may take
        # long, and the call is referred to by what it reports to.
        self._request: HttpRequest | None = request
        self.handler = handler
        self.cancelled = False
        self.sent = False
        self.connecting: asyncio.Task[None] | None = None
        # Calls that its connection had carried before this one.
        self.calls_before = 0
        self._connection: ClientConnection | None = None
        self._paused = False

    def start(self, connection: ClientConnection) -> bool:
        """Send the request unless it is no longer wanted.

        The handler is asked immediately before the first byte is sent.  If it
        cancels the call while being asked, nothing is sent.

        :param connection: a usable connection.
        :returns: whether the connection is now in use.
        """
        if self.cancelled or not self.handler.about_to_send() or self.cancelled:
            self._close()
            return False
        request, self._request = self._request, None
        assert request is not None
        self._connection = connection
        self.calls_before = connection.calls
        self.sent = True
        connection.send(request, self.handler)
        if self._paused:
            connection.pause_reading()
        return True

    def fail_unsent(self, reason: str) -> None:
        """Fail the call before any byte was sent.

        :param reason: the cause of the failure.
        """
        if self.cancelled:
            return
        self._close()
        self.handler.call_failed(CallFailure(sent=False, broken=False, reason=reason))

    def cancel(self) -> None:
        """Cancel the call and abort its connection; no event follows."""
        self._close()
        if self.connecting is not None:
            self.connecting.cancel()
        connection = self._active_connection()
        if connection is not None:
            connection.drop_call()

    def _close(self) -> None:
        self.cancelled = True
        self._request = None

    @property
    def path_lost(self) -> bool:
        """Whether the path to the server was lost after the request was sent."""
        connection = self._active_connection()
        return connection is not None and connection.path_lost

    @property
    def via(self) -> str:
        """The instance through which the request was sent; empty for none."""
        return self._connection.via if self._connection is not None else ''

    @property
    def connection_number(self) -> int:
        """The number of its connection; 0 if it was not sent."""
        return self._connection.number if self._connection is not None else 0

    @property
    def was_followed(self) -> bool:
        """Whether further bytes came directly behind the complete response."""
        return self._connection is not None and self._connection.was_followed

    def retire_connection(self) -> None:
        """Let no further call use the connection; this one goes on."""
        if self._connection is not None:
            self._connection.retire()

    def pause_reading(self) -> None:
        """Stop reading the response, which applies back-pressure to the server."""
        self._paused = True
        connection = self._active_connection()
        if connection is not None:
            connection.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the response."""
        self._paused = False
        connection = self._active_connection()
        if connection is not None:
            connection.resume_reading()

    def _active_connection(self) -> ClientConnection | None:
        """Return the connection while it carries this call.

        After the end of the response the connection may already carry another
        call.  Without this check, a caller that reads its last part slowly would
        pause the reading of another call's response.
        """
        connection = self._connection
        if connection is None or not connection.carries(self.handler):
            return None
        return connection
