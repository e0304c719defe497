"""Reads the requests of one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from savorychute.http.budget_share import ConnectionState
from savorychute.http.http_request import HttpRequest
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.http.budget_share import BudgetShare
    from savorychute.http.http_limits import HttpLimits

MAX_MESSAGE_CHARS = 200
HTTP_VERSION = b'1.1'
HEADERS_TOO_LARGE_STATUS = 431
# Events that are processed without a break.  A chunk is an event, however small.
EVENTS_PER_TURN = 64
# Memory of a header line besides its bytes.
HEADER_LINE_BYTES = 256


class RequestRefused(Exception):
    """A request that is not accepted; the connection reads no further one.

    :param code: the reason.
    :param message: the reason, for the caller.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class RequestReader:
    """Builds requests from the events of the HTTP parser.

    :param share: accounts for the memory of the requests.
    :param get_limits: returns the current limits.
    :param on_head: called with each head.
    """

    def __init__(
        self,
        share: BudgetShare,
        get_limits: Callable[[], HttpLimits],
        on_head: Callable[[], None],
    ) -> None:
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=get_limits().header_bytes
        )
        self._share = share
        self._get_limits = get_limits
        self._on_head = on_head
        self.head: h11.Request | None = None
        self._head_bytes = 0
        # One object for all chunks: each object takes memory besides its bytes.
        self._body = bytearray()
        # Whether the parser may have events that have not been processed.
        self.has_more = False

    def feed(self, data: bytes) -> None:
        """Receive bytes of the request that arrives.

        :param data: the bytes.
        """
        self.http.receive_data(data)

    def read_ahead(self, data: bytes) -> bool:
        """Receive bytes beyond the request in progress; return whether there is room.

        :param data: the bytes.
        """
        self.http.receive_data(data)
        self._share.set_head(self._share.head_bytes + len(data))
        return self._share.may_read_ahead

    def read(self) -> HttpRequest | None:
        """Return the next request if it is complete, after one turn at most.

        :raises RequestRefused: if it is malformed or too large.
        """
        self.has_more = False
        for _ in range(EVENTS_PER_TURN):
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise _refuse_malformed(error) from error
            if isinstance(event, h11.Request):
                self._add_head(event)
            elif isinstance(event, h11.Data):
                self._add_data(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._end()
            else:
                self._count_head()
                return None
        self.has_more = True
        return None

    def release(self) -> None:
        """Release the memory of the request, and of all that follows."""
        self.discard()
        self.http = h11.Connection(h11.SERVER)

    def discard(self) -> None:
        """Release the memory of the request."""
        self._share.release()
        self._body = bytearray()
        self._head_bytes = 0
        self.head = None

    def count_rest(self) -> int:
        """Count what was received beyond the request, and return its size."""
        rest_bytes = len(self.http.trailing_data[0])
        self._share.set_head(self._head_bytes + rest_bytes)
        return rest_bytes

    def _count_head(self) -> None:
        """Count a head, or the framing of a chunk, that has not arrived whole."""
        rest_bytes = len(self.http.trailing_data[0])
        if not self._share.set_head(self._head_bytes + rest_bytes):
            raise RequestRefused(ResultCode.MEMORY_EXHAUSTED, 'too many heads')

    def _add_head(self, head: h11.Request) -> None:
        self.head = head
        self._share.enter(ConnectionState.RECEIVING)
        self._head_bytes = sum(
            len(name) + len(value) + HEADER_LINE_BYTES for name, value in head.headers
        )
        if head.http_version != HTTP_VERSION:
            # In HTTP/1.0 the end of the connection ends a response of unknown
            # length, so a truncated response would look complete.
            raise RequestRefused(ResultCode.MALFORMED_HTTP, 'HTTP/1.1 is needed')
        if _has_conflicting_framing(head):
            # The two sides would disagree about where the body ends: what one reads
            # as the body, the other reads as a request (request smuggling).
            raise RequestRefused(
                ResultCode.MALFORMED_HTTP, 'a length and chunks as well'
            )
        if _content_length(head) > self._get_limits().body_bytes:
            raise self._refuse_body()
        if not self._share.set_head(self._head_bytes):
            raise RequestRefused(ResultCode.MEMORY_EXHAUSTED, 'too many heads')
        self._on_head()

    def _add_data(self, data: bytes | bytearray) -> None:
        if len(self._body) + len(data) > self._get_limits().body_bytes:
            raise self._refuse_body()
        if not self._share.reserve_body(len(data)):
            raise RequestRefused(
                ResultCode.MEMORY_EXHAUSTED, 'too many bodies in memory'
            )
        self._body += data

    def _end(self) -> HttpRequest | None:
        head, self.head = self.head, None
        body, self._body = self._body, bytearray()
        if head is None:
            return None
        return HttpRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            headers=tuple(
                (name.decode('ascii'), value.decode('latin-1'))
                for name, value in head.headers
            ),
            body=bytes(body),
        )

    def _refuse_body(self) -> RequestRefused:
        limit_bytes = self._get_limits().body_bytes
        return RequestRefused(
            ResultCode.BODY_TOO_LARGE, f'more than {limit_bytes} bytes'
        )


def _refuse_malformed(error: h11.RemoteProtocolError) -> RequestRefused:
    code = ResultCode.MALFORMED_HTTP
    if error.error_status_hint == HEADERS_TOO_LARGE_STATUS:
        code = ResultCode.HEADERS_TOO_LARGE
    return RequestRefused(code, str(error)[:MAX_MESSAGE_CHARS])


def _content_length(head: h11.Request) -> int:
    for name, value in head.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _has_conflicting_framing(head: h11.Request) -> bool:
    names = {name for name, _ in head.headers}
    return b'content-length' in names and b'transfer-encoding' in names
