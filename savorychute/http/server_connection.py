"""A caller's connection to an HTTP server."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

import h11

from savorychute.http.budget_share import BudgetShare, ConnectionState
from savorychute.http.error_response import classify_ran, encode_error, error_headers
from savorychute.http.http_request import encode_headers
from savorychute.http.request_reader import RequestReader, RequestRefused
from savorychute.http.server_exchange import ServerExchange
from savorychute.http.slow_caller import SlowCallerReason
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.http.http_limits import HttpLimits
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.http_server import HttpServer

CONTINUE_STATUS = 100
CODES_BEFORE_HEAD = (
    ResultCode.CONNECTIONS_EXHAUSTED,
    ResultCode.MEMORY_EXHAUSTED,
    ResultCode.SLOW_CALLER,
)
REFUSAL_RETRY_MS = 1_000
STATUSES_WITHOUT_BODY = (204, 304)
WRITABLE_STATES = (h11.IDLE, h11.SEND_RESPONSE)
# The least time over which the speed of a caller is measured, and the least speed that
# is assumed.  Callers that read nothing thus compare by what they leave unread.
MIN_MEASURED_MS = 1_000
MIN_BYTES_PER_MS = 1.0
# Bytes that are received at once: of a body, and of all else, since what follows a
# request is held until that has ended.
BODY_PART_BYTES = 64 * 1024
PART_BYTES = 4 * 1024
# The kernel doubles it.  While a connection is not read, it holds as much.
PAUSED_RECEIVE_BUFFER_BYTES = 4 * 1024
# Shared by all connections: the bytes are copied from it before the next ones arrive.
_RECEIVED = bytearray(BODY_PART_BYTES)


class ServerConnection(asyncio.BufferedProtocol):
    """Reads requests one by one and responds to them in order.

    Pipelined requests wait in h11's buffer, which is limited: beyond the limit
    the socket is not read until the current response has been sent.

    :param server: the server that accepted the connection.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport
        # Beneath the transport of an encrypted connection.
        self._plain: asyncio.Transport | None = None
        self._exchange: ServerExchange | None = None
        self.share = BudgetShare(server.budget, self)
        self._reader = RequestReader(
            self.share, lambda: server.limits, self._handle_head
        )
        # Whether there was room for the connection, once it has been counted.
        self._has_place: bool | None = None
        self.pipelined_bytes = 0
        self._unwritten = b''
        self._lingering = False
        self._without_body = False
        self._request_started = False
        self._reading_paused = False
        # Whether received bytes wait for a turn to be processed.
        self._waits_for_turn = False
        # Whether the next request waits until the caller has read the last response.
        self._waits_for_caller = False
        self._paused_since_ms: int | None = None
        # Since when there has been unread data, and what had been written by then.
        self._unread_since_ms = 0
        self._drained_at_start = 0
        # Bytes written to the transport, in total and when the caller last read some.
        self._written_bytes = 0
        self._drained_bytes = 0
        self._progress_ms = 0
        self._deadline_ms = 0
        # What had been written when the connection was last seen to be read, and when.
        self._seen_drained = -1
        self._seen_ms = 0
        self.writing_paused = False

    @property
    def _http(self) -> h11.Connection:
        """The parser of requests, which also encodes the responses."""
        return self._reader.http

    @property
    def _limits(self) -> HttpLimits:
        """The current limits, which may change while the connection is open."""
        return self._server.limits

    # -- called while the connection is accepted

    def take_place(self, transport: asyncio.Transport) -> None:
        """Count the connection, which may not be ready for requests yet.

        :param transport: its transport so far.
        """
        self._transport = transport
        self._set_deadline(self._limits.header_timeout_ms)
        self._has_place = self._server.add(self)

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or refuse it if there are too many."""
        if self._has_place is None:
            self.take_place(cast('asyncio.Transport', transport))
        else:
            self._plain = self._transport
            self._transport = cast('asyncio.Transport', transport)
        self._limit_buffers()
        self._set_deadline(self._limits.idle_timeout_ms)
        if not self._has_place:
            self._refuse(ResultCode.CONNECTIONS_EXHAUSTED, 'try another instance')

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return where the next bytes are received."""
        in_body = self._reader.head is not None
        return memoryview(_RECEIVED)[: BODY_PART_BYTES if in_body else PART_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were received."""
        self.data_received(bytes(memoryview(_RECEIVED)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process bytes from the caller."""
        if self._lingering:
            return
        if self._exchange is not None or self._waits_for_caller:
            self._buffer_pipelined(data)
            return
        self._start_request()
        self._reader.feed(data)
        if not self._waits_for_turn:
            self._advance()

    def eof_received(self) -> bool:
        """Treat the end of the stream as a disconnect; the transport closes."""
        self._report_caller_left()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Treat the loss of the connection as a disconnect of the caller."""
        self._report_caller_left()
        self._reader.release()
        self._server.remove(self)

    def pause_writing(self) -> None:
        """Notify the exchange that the caller reads too slowly."""
        self.writing_paused = True
        self._paused_since_ms = self._progress_ms = self._server.now_ms()
        self._drained_bytes = self._count_drained()
        self._report_paused()

    def _report_paused(self) -> None:
        if self._exchange is not None and self._exchange.on_pause is not None:
            self._exchange.on_pause()

    def resume_writing(self) -> None:
        """Notify the exchange that the caller reads again."""
        self.writing_paused = False
        self._paused_since_ms = None
        if self._exchange is not None and self._exchange.on_resume is not None:
            self._exchange.on_resume()
        elif self._waits_for_caller:
            self._waits_for_caller = False
            self._continue()

    # -- called by the exchange

    def send_head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of a response."""
        sent = encode_headers(headers)
        if self._server.closing:
            sent.append((b'connection', b'close'))
        is_head = self._exchange is not None and self._exchange.request.method == 'HEAD'
        self._without_body = is_head or status in STATUSES_WITHOUT_BODY
        self._buffer_event(h11.Response(status_code=status, headers=sent))
        asyncio.get_running_loop().call_soon(self._flush)

    def send_data(self, data: bytes, last: bool = False) -> None:
        """Send a part of a response's body.

        If a caller stops reading while the response continues, the buffer would
        grow without limit; beyond ``max_write_buffer_bytes`` the connection is
        aborted.  While all callers together leave little room, each further part for
        a caller that reads slowly is reported as a pause.

        :param data: the bytes.
        :param last: whether the end follows at once and is written with them.
        """
        if self._without_body:
            return
        event = h11.Data(data=data)
        if last:
            self._buffer_event(event)
            return
        self._write(event)
        if self.unread_bytes > self._limits.max_write_buffer_bytes:
            self.end_slow_caller(SlowCallerReason.RESPONSE)
        elif self.writing_paused and not self._server.budget.has_room:
            self._report_paused()

    def end_exchange(self) -> None:
        """End a response and continue with the next request."""
        self._write(h11.EndOfMessage())
        self._exchange = None
        self._reader.discard()
        if h11.MUST_CLOSE in (self._http.our_state, self._http.their_state):
            self._linger()
            return
        self._http.start_next_cycle()
        self._request_started = False
        self._set_deadline(self._limits.idle_timeout_ms)
        # Otherwise the responses to requests that were sent ahead would pile up.
        self._waits_for_caller = self.writing_paused
        self._reader.count_rest()
        if not self._waits_for_caller:
            self._continue()

    def _continue(self) -> None:
        """Go on with the next request, of which some bytes may have been received."""
        if self._reader.count_rest():
            self._start_request()
            self._wait_for_turn()
            return
        self.share.enter(ConnectionState.IDLE)
        self._resume_reading()

    def abort(self) -> None:
        """Abort the connection."""
        self._transport.abort()

    # -- called by the server

    @property
    def unread_bytes(self) -> int:
        """Size of the response data that the caller has not read yet."""
        size_bytes = self._transport.get_write_buffer_size()
        if self._plain is not None:
            size_bytes += self._plain.get_write_buffer_size()
        return size_bytes

    def is_reading(self, now_ms: int, stalled_ms: int) -> bool:
        """Return whether the caller reads a response that it does not have whole.

        :param now_ms: the current time of the server.
        :param stalled_ms: how long the caller may read nothing.
        """
        if not self.unread_bytes or self._transport.is_closing():
            return False
        drained_bytes = self._count_drained()
        if drained_bytes > self._seen_drained:
            self._seen_drained, self._seen_ms = drained_bytes, now_ms
        return now_ms - self._seen_ms < stalled_ms

    def drain_ms(self, now_ms: int) -> float:
        """Return how long the caller will take to read what it has not read yet.

        :param now_ms: the current time of the server.
        """
        read_bytes = self._count_drained() - self._drained_at_start
        waited_ms = max(MIN_MEASURED_MS, self.waited_ms(now_ms))
        return self.unread_bytes / max(MIN_BYTES_PER_MS, read_bytes / waited_ms)

    def waited_ms(self, now_ms: int) -> int:
        """Return for how long there has been data that the caller has not read.

        :param now_ms: the current time of the server.
        """
        return now_ms - self._unread_since_ms

    def _count_drained(self) -> int:
        return self._written_bytes - self.unread_bytes

    def end_slow_caller(self, reason: SlowCallerReason) -> None:
        """Abort the connection of a caller that reads too slowly.

        :param reason: the limit that it exceeds.
        """
        if self._transport.is_closing():
            return
        unread_bytes = self.unread_bytes
        self._transport.abort()
        self._server.report_slow_caller(reason, unread_bytes)

    def check_deadline(self, now_ms: int) -> None:
        """Disconnect a caller that sends too slowly, or does not read at all.

        One that reads slowly gets its whole response, within the limits of memory.

        :param now_ms: the current time of the server.
        """
        is_between_requests = self._exchange is None and (
            self._lingering or not self._request_started
        )
        if is_between_requests and self.unread_bytes:
            # The time begins when the whole response has been written.
            self._set_deadline(
                self._limits.linger_ms
                if self._lingering
                else self._limits.idle_timeout_ms
            )
            self._check_progress(now_ms)
            return
        if self._paused_since_ms is not None:
            self._check_progress(now_ms)
            return
        if self._exchange is not None or now_ms < self._deadline_ms:
            return
        if is_between_requests:
            self._transport.abort()
            return
        self._refuse(ResultCode.SLOW_CALLER, 'the request did not arrive in time')

    def _check_progress(self, now_ms: int) -> None:
        """End the connection if its caller has read nothing for too long."""
        drained_bytes = self._count_drained()
        if drained_bytes > self._drained_bytes:
            self._drained_bytes, self._progress_ms = drained_bytes, now_ms
        elif now_ms - self._progress_ms >= self._limits.stalled_ms:
            self.end_slow_caller(SlowCallerReason.STALLED)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self._exchange is None and not self._request_started and not self._lingering:
            self._transport.close()

    # -- called by the budget

    def close_unused(self) -> None:
        """Close the connection, which another one needs more.

        One that is encrypted would first wait until its caller has agreed to the end.
        """
        if self._lingering or self._plain is not None:
            self._transport.abort()
        else:
            self._transport.close()

    def refuse_unfinished(self, code: ResultCode) -> None:
        """Refuse a request that has not arrived whole.

        :param code: the reason.
        """
        if not self._transport.is_closing():
            self._refuse(code, 'the request arrives too slowly')

    # -- reading

    def _start_request(self) -> None:
        if not self._request_started:
            self._request_started = True
            self._set_deadline(self._limits.header_timeout_ms)
            self.share.enter(ConnectionState.RECEIVING)

    def _advance(self) -> None:
        """Process what was received, up to the end of one request, for one turn."""
        if self._transport.is_closing() or self._exchange is not None:
            return
        try:
            request = self._reader.read()
        except RequestRefused as refused:
            # Another connection may have needed the memory that this one had.
            if not self._lingering:
                self._refuse(refused.code, refused.message)
            return
        if request is not None:
            self._handle_request(request)
        elif self._reader.has_more:
            self._wait_for_turn()
        else:
            self._resume_reading()

    def _wait_for_turn(self) -> None:
        """Read nothing more until what was received has been processed."""
        self._waits_for_turn = True
        self._pause_reading()
        self._server.budget.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        if not self._lingering:
            self._advance()

    def _handle_head(self) -> None:
        self._set_deadline(self._limits.body_timeout_ms)
        if self._http.they_are_waiting_for_100_continue:
            self._write(
                h11.InformationalResponse(status_code=CONTINUE_STATUS, headers=[])
            )

    def _handle_request(self, request: HttpRequest) -> None:
        self.share.enter(ConnectionState.BUSY)
        exchange = ServerExchange(request, self)
        self._exchange = exchange
        self.pipelined_bytes = self._reader.count_rest()
        if self.pipelined_bytes <= self._limits.pipelined_bytes:
            # The end of the connection shows that the caller has left.
            self._resume_reading()
        self._server.on_request(exchange)

    def _buffer_pipelined(self, data: bytes) -> None:
        self.pipelined_bytes += len(data)
        has_room = self._reader.read_ahead(data)
        if not has_room or self.pipelined_bytes > self._limits.pipelined_bytes:
            self._pause_reading()
            self._limit_receive_buffer(PAUSED_RECEIVE_BUFFER_BYTES)

    def _pause_reading(self) -> None:
        self._reading_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._limit_receive_buffer(self._limits.receive_buffer_bytes)
            self._transport.resume_reading()

    # -- refusing

    def _refuse(self, code: ResultCode, message: str) -> None:
        """Respond with an error and accept no more requests."""
        ran = self._classify_ran(code)
        if self._http.our_state in WRITABLE_STATES:
            body = encode_error(code, ran, message)
            headers = [
                *error_headers(code, ran, REFUSAL_RETRY_MS),
                ('content-length', str(len(body))),
                ('connection', 'close'),
            ]
            self._write(h11.Response(status_code=code.status, headers=headers))
            self._write(h11.Data(data=body))
            self._write(h11.EndOfMessage())
        self._linger()

    def _linger(self) -> None:
        """Close the writing half and discard further input.

        Closing a socket with unread bytes resets the connection, and the caller
        would lose a response that it has not read yet.  TLS cannot close one half;
        there the caller closes the connection after it has read the response.
        """
        self._lingering = True
        self._reader.release()
        self.share.enter(ConnectionState.LINGERING)
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_deadline(self._limits.linger_ms)

    def _classify_ran(self, code: ResultCode) -> Ran:
        """Return whether the request may have run when it was sent before.

        A request that is refused before its head was read may have a key.  A
        malformed head is refused each time it is sent, so it never ran.
        """
        head = self._reader.head
        if head is not None:
            return classify_ran(name.decode('ascii') for name, _ in head.headers)
        return Ran.UNKNOWN if code in CODES_BEFORE_HEAD else Ran.NOT_RUN

    # -- helpers

    def _write(self, event: h11.Event) -> None:
        self._buffer_event(event)
        self._flush()

    def _buffer_event(self, event: h11.Event) -> None:
        """Buffer bytes for the next write, because each write is a system call."""
        self._unwritten += self._http.send(event) or b''

    def _flush(self) -> None:
        # asyncio logs a warning for each write to a connection that is already lost.
        data, self._unwritten = self._unwritten, b''
        if not data or self._transport.is_closing():
            return
        if not self.unread_bytes:
            self._unread_since_ms = self._progress_ms = self._server.now_ms()
            self._drained_at_start = self._drained_bytes = self._written_bytes
        self._written_bytes += len(data)
        self._transport.write(data)
        if self.unread_bytes:
            self._server.budget.count_unread(len(data))

    def _set_deadline(self, timeout_ms: int) -> None:
        self._deadline_ms = self._server.now_ms() + timeout_ms

    def _report_caller_left(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.caller_left()

    def _limit_buffers(self) -> None:
        """Limit the data that is buffered for a caller that does not read.

        By default the kernel grows a socket's send buffer to megabytes, and an
        engine would keep generating far ahead of a caller that stopped reading.
        """
        self._transport.set_write_buffer_limits(high=self._limits.write_buffer_bytes)
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is not None:
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, self._limits.send_buffer_bytes
            )
            # Not set by the event loop for sockets that were opened before it started.
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._limit_receive_buffer(self._limits.receive_buffer_bytes)

    def _limit_receive_buffer(self, size_bytes: int) -> None:
        """Limit what the kernel receives ahead, which would grow to megabytes."""
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is not None and raw_socket.fileno() >= 0:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
