"""A client connection to a server."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from typing import TYPE_CHECKING, cast

import h11

from savorychute.http.call_failure import CallFailure
from savorychute.http.http_request import encode_headers
from savorychute.http.receive_pace import (
    FIRST_PART_BYTES,
    MAX_PART_BYTES,
    ReceivePace,
    ResponsePace,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.http.connector import ConnectionPath
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.response_handler import ResponseHandler

MAX_HEAD_BYTES = 32 * 1024
# Size of the parts of a larger body, so that the transport copies little of it.
BODY_PART_BYTES = 64 * 1024
# The kernel's receive and send buffers, which it doubles.  By default they grow to
# megabytes for each response or body that is read slowly.
SOCKET_BUFFER_BYTES = 64 * 1024
# Shared by all connections: the bytes are copied from it before the next ones arrive.
_RECEIVED = bytearray(MAX_PART_BYTES)
# Interim responses before the final one; servers send one every few seconds at most.
MAX_INTERIM_RESPONSES = 100
EVENT_STREAM = 'text/event-stream'
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*"?(\d{1,6})')
MS_PER_S = 1_000


class ClientConnection(asyncio.BufferedProtocol):
    """Carries one call at a time.

    :param host_header: the value of the ``host`` header.
    :param on_idle: called when the connection can take the next call.
    :param on_lost: called when the connection is lost.
    :param max_response_bytes: the size of the largest accepted response; None for any.
    :param pace: the pace of all responses; an own one by default.
    :param number: its number among the connections of its pool, from 1.
    """

    def __init__(
        self,
        host_header: str,
        on_idle: Callable[[ClientConnection], None],
        on_lost: Callable[[ClientConnection], None],
        max_response_bytes: int | None = None,
        pace: ReceivePace | None = None,
        number: int = 0,
    ) -> None:
        self._host_header = host_header
        self._on_idle = on_idle
        self._on_lost = on_lost
        self.number = number
        # Calls that were sent on it.
        self.calls = 0
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._handler: ResponseHandler | None = None
        self._max_response_bytes = max_response_bytes
        self._shared_pace = pace or ReceivePace(loop_ms)
        # None before the first call.
        self._pace: ResponsePace | None = None
        self._pace_timer: asyncio.TimerHandle | None = None
        self._reading_paused = False
        self._received_bytes = 0
        self._interim_responses = 0
        # Chunks or events of the part that is being processed.
        self._part_events = 0
        self._is_event_stream = False
        self._expects_body = True
        self._unsent_body = memoryview(b'')
        self._writing_paused = False
        self.idle_since_ms = 0
        self.keep_alive_ms: int | None = None
        # Whether no further call should use the connection.
        self.retired = False
        # Whether bytes came directly behind a complete response.
        self.was_followed = False
        # Set by connectors that have more than one way to a server.
        self.path: ConnectionPath | None = None

    @property
    def usable(self) -> bool:
        """Whether the connection can take a call."""
        return (
            self._transport is not None
            and not self.retired
            and not self._transport.is_closing()
            and self._handler is None
            and self._http.our_state is h11.IDLE
            and (self.path is None or self.path.usable)
        )

    @property
    def has_input(self) -> bool:
        """Whether the socket has bytes or an end that the event loop has not read yet.

        After a pause of this process, a server may have closed a connection long ago
        without the loop having noticed.
        """
        if self._transport is None:
            return False
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is None or raw_socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def via(self) -> str:
        """The instance through which the connection passes; empty for none."""
        return self.path.via if self.path is not None else ''

    @property
    def path_lost(self) -> bool:
        """Whether the call in progress can expect no more bytes."""
        return self.path is not None and self.path.lost

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connected transport."""
        self._transport = cast('asyncio.Transport', transport)
        raw_socket = transport.get_extra_info('socket')
        if raw_socket is not None:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                raw_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return where the next bytes are received."""
        part_bytes = self._pace.part_bytes if self._pace else FIRST_PART_BYTES
        return memoryview(_RECEIVED)[:part_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were received."""
        self.data_received(bytes(memoryview(_RECEIVED)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process bytes from the server."""
        if self._handler is None:
            # Bytes that belong to no request: the two sides disagree about where
            # a response ended, so the next response could be matched to the
            # wrong request.
            self.abort()
            return
        self._received_bytes += len(data)
        self._part_events = 0
        self._http.receive_data(data)
        self._advance()
        if self._handler is not None:
            self._limit_response(len(data))

    def eof_received(self) -> bool:
        """Process the end of the stream, which ends a response without a length."""
        if self._handler is not None and self._has_unsent_body:
            # The server may have given up, and its reset is still to come: what it sent
            # without a length is not known to be whole.
            self._fail('connection closed before the whole body was sent')
        elif self._handler is not None:
            self._http.receive_data(b'')
            self._advance('connection closed')
        return False

    @property
    def _has_unsent_body(self) -> bool:
        transport = cast('asyncio.Transport', self._transport)
        return bool(self._unsent_body) or transport.get_write_buffer_size() > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self._stop_pacing()
        self._fail(f'connection lost: {exc}' if exc else 'connection closed')
        self._on_lost(self)

    # -- called by ClientCall

    def carries(self, handler: ResponseHandler) -> bool:
        """Return whether the call of *handler* is in progress on this connection.

        :param handler: the receiver that was passed to :meth:`send`.
        """
        return self._handler is handler

    def send(self, request: HttpRequest, handler: ResponseHandler) -> None:
        """Send a request; its response goes to *handler*.

        :param request: the complete request.
        :param handler: the receiver of the call's events.
        """
        self._handler = handler
        self.calls += 1
        self._pace = ResponsePace(self._shared_pace)
        self._received_bytes = self._interim_responses = 0
        self._is_event_stream = False
        self._expects_body = request.method != 'HEAD'
        headers = list(request.headers)
        if not any(name == 'host' for name, _ in headers):
            headers.insert(0, ('host', self._host_header))
        if not any(name == 'content-length' for name, _ in headers) and (
            request.body or request.method not in ('GET', 'HEAD')
        ):
            headers.append(('content-length', str(len(request.body))))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=encode_headers(headers),
        )
        data = self._http.send(head) or b''
        if len(request.body) <= BODY_PART_BYTES:
            if request.body:
                data += self._http.send(h11.Data(data=request.body)) or b''
            data += self._http.send(h11.EndOfMessage()) or b''
            cast('asyncio.Transport', self._transport).write(data)
            return
        cast('asyncio.Transport', self._transport).write(data)
        self._unsent_body = memoryview(request.body)
        self._send_body()

    def _send_body(self) -> None:
        """Send a large body part by part, as fast as the server reads it.

        The transport would keep a copy of what the server has not read, and a few
        hundred large bodies for slow servers would exhaust the memory.
        """
        transport = cast('asyncio.Transport', self._transport)
        while self._unsent_body and not self._writing_paused:
            part = self._unsent_body[:BODY_PART_BYTES]
            self._unsent_body = self._unsent_body[BODY_PART_BYTES:]
            transport.write(self._http.send(h11.Data(data=bytes(part))) or b'')
            if not self._unsent_body:
                transport.write(self._http.send(h11.EndOfMessage()) or b'')

    def pause_writing(self) -> None:
        """Stop sending the body, because the server reads it slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on sending the body."""
        self._writing_paused = False
        if self._handler is not None:
            self._send_body()

    def pause_reading(self) -> None:
        """Stop reading, which applies back-pressure to the server."""
        self._reading_paused = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._reading_paused = False
        self._resume_transport()

    def _resume_transport(self) -> None:
        if self._reading_paused or self._pace_timer is not None:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def drop_call(self) -> None:
        """Discard the call in progress and abort the connection."""
        self._end_call()
        self.abort()

    def retire(self) -> None:
        """Let no further call use the connection; the one in progress goes on."""
        self.retired = True
        if self._handler is None:
            self.abort()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    # -- reading

    def _advance(self, fault: str = 'malformed response') -> None:
        try:
            while self._handler is not None and self._handle_event(self._handler):
                pass
        except h11.RemoteProtocolError as error:
            self._fail(f'{fault}: {error}')
            self.abort()

    def _handle_event(self, handler: ResponseHandler) -> bool:
        event = self._http.next_event()
        if isinstance(event, h11.Data):
            self._count_events(event.data)
            handler.response_data(bytes(event.data))
            return True
        if isinstance(event, h11.Response):
            headers = {
                name.decode('ascii'): value.decode('latin-1')
                for name, value in event.headers
            }
            stated_ms = _parse_keep_alive_ms(headers.get('keep-alive', ''))
            if stated_ms is not None:
                # Servers need not state it in each response.
                self.keep_alive_ms = stated_ms
            self._is_event_stream = headers.get('content-type', '').startswith(
                EVENT_STREAM
            )
            if self._states_too_much(headers):
                self._reject_size()
                return False
            handler.response_started(event.status_code, headers)
            return True
        if isinstance(event, h11.EndOfMessage):
            self._finish_response(handler)
            return False
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail('too many interim responses')
                self.abort()
            return True
        return False

    def _states_too_much(self, headers: dict[str, str]) -> bool:
        length_bytes = int(headers.get('content-length', '0'))
        return self._expects_body and self._is_too_large(length_bytes)

    def _is_too_large(self, size_bytes: int) -> bool:
        limit_bytes = self._max_response_bytes
        return limit_bytes is not None and size_bytes > limit_bytes

    def _count_events(self, data: bytes | bytearray) -> None:
        """Count a chunk, or the events that it may hold: each has two lines or more."""
        events = 1
        if self._is_event_stream:
            events = max(events, (data.count(b'\n') + data.count(b'\r')) // 2)
        self._part_events += events

    def _limit_response(self, size_bytes: int) -> None:
        """Limit the size of the response, and its share of the event loop."""
        if self._is_too_large(self._received_bytes):
            self._reject_size()
            return
        if self._pace is None:
            return
        delay_ms = self._pace.record(size_bytes, self._part_events)
        transport = self._transport
        if delay_ms and transport is not None and not transport.is_closing():
            transport.pause_reading()
            self._pace_timer = asyncio.get_running_loop().call_later(
                delay_ms / MS_PER_S, self._end_pause
            )

    def _end_pause(self) -> None:
        self._pace_timer = None
        self._resume_transport()

    def _stop_pacing(self) -> None:
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._pace_timer = None

    def _reject_size(self) -> None:
        reason = f'response larger than {self._max_response_bytes} bytes'
        self._fail(reason, too_large=True)
        self.abort()

    def _finish_response(self, handler: ResponseHandler) -> None:
        """Report the end of the response, and reuse the connection if it is clean.

        Bytes beyond the response belong to no request; on a reused connection they
        would be matched to the next one.  If the server responded before it had
        received the whole body, it would read the next request as the rest of that
        body.
        """
        done = self._http.our_state is h11.DONE is self._http.their_state
        transport = cast('asyncio.Transport', self._transport)
        unsent_bytes = transport.get_write_buffer_size()
        self.was_followed = bool(self._http.trailing_data[0])
        self._end_call()
        if done and not unsent_bytes and not self.was_followed:
            self._http.start_next_cycle()
            self._stop_pacing()
            self.resume_reading()
            self._on_idle(self)
        else:
            self.abort()
        handler.response_ended()

    def _end_call(self) -> None:
        """Release what belongs to the call.

        An empty part of a body refers to the whole of it.
        """
        self._handler = None
        self._unsent_body = memoryview(b'')

    def _fail(self, reason: str, *, too_large: bool = False) -> None:
        handler = self._handler
        self._end_call()
        if handler is not None:
            handler.call_failed(CallFailure(True, True, reason, too_large))


def loop_ms() -> float:
    """Return the time of the running loop, in milliseconds."""
    return asyncio.get_running_loop().time() * MS_PER_S


def _parse_keep_alive_ms(header: str) -> int | None:
    """Return how long the server keeps an idle connection, or None if unstated."""
    match = KEEP_ALIVE_TIMEOUT.search(header)
    return int(match[1]) * MS_PER_S if match else None
