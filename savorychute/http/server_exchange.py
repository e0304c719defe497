"""A request on a server connection and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.http.http_request import HttpRequest
    from savorychute.http.server_connection import ServerConnection


class ServerExchange:
    """A caller's request and the methods that respond to it.

    Every method is a no-op once the caller has disconnected, so that a response
    in progress needs no check before each step.

    :param request: the complete request.
    :param connection: the connection on which it arrived.
    """

    __slots__ = (
        '_connection',
        'finished',
        'left',
        'on_left',
        'on_pause',
        'on_resume',
        'request',
        'started',
    )

    def __init__(self, request: HttpRequest, connection: ServerConnection) -> None:
        self.request = request
        self.started = False
        self.finished = False
        self.left = False
        self.on_left: Callable[[], None] | None = None
        self.on_pause: Callable[[], None] | None = None
        self.on_resume: Callable[[], None] | None = None
        self._connection = connection

    def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete response.

        :param status: the HTTP status.
        :param headers: the headers, without the content length.
        :param body: the body.
        """
        length = ('content-length', str(len(body)))
        self.start(status, [*headers, length])
        self.finish(body)

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head; without a content length the body is sent in chunks.

        :param status: the HTTP status.
        :param headers: the headers.
        """
        if self.left or self.started:
            return
        self.started = True
        self._connection.send_head(status, headers)

    def send(self, data: bytes) -> None:
        """Send a part of the body.

        :param data: the bytes; if empty, nothing is sent.
        """
        if self.left or self.finished or not data:
            return
        self._connection.send_data(data)

    def finish(self, data: bytes = b'') -> None:
        """End the response; the connection then reads its next request.

        :param data: the last part of the body.
        """
        if self.left or self.finished:
            return
        self.finished = True
        if data:
            self._connection.send_data(data, last=True)
        self._connection.end_exchange()

    def abort(self) -> None:
        """Abort the connection so that the caller sees a truncated response."""
        if self.left or self.finished:
            return
        self.finished = True
        self._connection.abort()

    def caller_left(self) -> None:
        """Record that the caller has disconnected, and notify the owner."""
        if self.left or self.finished:
            return
        self.left = True
        if self.on_left is not None:
            self.on_left()

    def release(self) -> None:
        """Release the request and the callbacks, when nothing uses them any more."""
        self.on_left = self.on_pause = self.on_resume = None
        self.request.release()

    @property
    def paused(self) -> bool:
        """Whether the caller reads more slowly than the response is written."""
        return self._connection.writing_paused
