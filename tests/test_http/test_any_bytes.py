"""Tests of the HTTP server and client with arbitrary bytes from the other side."""

from __future__ import annotations

import asyncio
import re
from itertools import pairwise

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.clock import ManualClock
from savorychute.http.client_connection import ClientConnection
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_request import HttpRequest
from savorychute.http.http_server import HttpServer
from savorychute.http.server_connection import ServerConnection

REQUEST = b'POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc'
CHUNKED = (
    b'POST /b HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nab\r\n0\r\n\r\n'
)
RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
FRAGMENTS = st.sampled_from(
    [
        REQUEST,
        CHUNKED,
        RESPONSE,
        b'HEAD / HTTP/1.1\r\nhost: x\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 204 No\r\n\r\n',
        b'\r\n',
        b'0\r\n\r\n',
        b'ffffffff\r\n',
    ]
)
BYTES = st.lists(FRAGMENTS | st.binary(max_size=20), max_size=6).map(b''.join)
SPLIT_POINTS = st.lists(st.integers(0, 400), max_size=6)
STATUS_LINE = re.compile(rb'HTTP/1\.1 ([0-9]{3}) \r\n')
SMALL_LIMITS = HttpLimits(header_bytes=200, body_bytes=10, buffered_bytes=20)


class FakeTransport(asyncio.Transport):
    """Records what is written."""

    def __init__(self):
        super().__init__()
        self.written = b''
        self.closed = False

    def write(self, data):
        """Record the bytes."""
        self.written += data

    def is_closing(self):
        """Return whether the transport was closed."""
        return self.closed

    def close(self):
        """Close the transport."""
        self.closed = True

    abort = close

    def can_write_eof(self):
        """Return that the writing half can be closed."""
        return True

    def write_eof(self):
        """Accept no more bytes."""
        self.write = None

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing."""

    def get_write_buffer_size(self):
        """Return that the buffer is empty."""
        return 0


async def feed(connection, transport, data, split_points):
    """Deliver the bytes in parts, then the end, as a transport does."""
    edges = [0, *sorted(cut for cut in split_points if cut < len(data)), len(data)]
    for start, stop in pairwise(edges):
        if not transport.closed and start < stop:
            connection.data_received(data[start:stop])
        for _ in range(8):
            await asyncio.sleep(0)
    if not transport.closed:
        connection.eof_received()
    connection.connection_lost(None)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(BYTES, SPLIT_POINTS)
def test_server_responds_to_any_bytes_in_order_or_refuses(data, split_points):
    received = []

    def respond(exchange):
        received.append(exchange.request)
        exchange.respond(200, [], b'%d' % len(received))

    async def main():
        server = HttpServer(SMALL_LIMITS, ManualClock(), respond)
        connection = ServerConnection(server)
        transport = FakeTransport()
        connection.connection_made(transport)
        await feed(connection, transport, data, split_points)
        return server, transport.written

    server, written = asyncio.run(main())

    assert (server.buffered_bytes, server.open_connections) == (0, 0)
    assert all(len(request.body) <= SMALL_LIMITS.body_bytes for request in received)
    statuses = STATUS_LINE.findall(written)
    assert statuses.count(b'200') == len(received)
    assert set(statuses) <= {b'100', b'200', b'400', b'413', b'431', b'503'}
    assert statuses.count(b'400') <= 1


class EndRecorder:
    """Counts how a call ended."""

    def __init__(self):
        self.ends = []
        self.body = b''

    def about_to_send(self):
        """Allow the request to be sent."""
        return True

    def response_started(self, status, _headers):
        """Check the status."""
        assert status >= 200

    def response_data(self, data):
        """Record the part."""
        assert not self.ends
        self.body += data

    def response_ended(self):
        """Count the end."""
        self.ends.append('ended')

    def call_failed(self, failure):
        """Count the failure, which must state that the request was sent."""
        assert failure.sent
        self.ends.append('failed')


@settings(derandomize=True, deadline=None, max_examples=300)
@given(BYTES, SPLIT_POINTS)
def test_call_ends_exactly_once_whatever_the_server_sends(data, split_points):
    idle = []

    async def main():
        connection = ClientConnection('x', idle.append, lambda _: None)
        transport = FakeTransport()
        connection.connection_made(transport)
        handler = EndRecorder()
        connection.send(HttpRequest('GET', '/'), handler)
        await feed(connection, transport, data, split_points)
        return handler, transport.closed

    handler, closed = asyncio.run(main())

    assert len(handler.ends) == 1
    if handler.ends == ['ended']:
        assert is_complete(data)
    assert closed or not idle or data.endswith((b'ok', b'\r\n'))


def is_complete(data):
    """Return whether *data* starts with a complete response."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method='GET', target='/', headers=[('host', 'x')]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    client.receive_data(b'')
    while True:
        event = client.next_event()
        if isinstance(event, h11.EndOfMessage):
            return True
        if event in (h11.NEED_DATA, h11.PAUSED):
            return False
