"""Tests of callers that disconnect, stall or get truncated responses."""

from __future__ import annotations

import asyncio
import json
import socket

from daemon_fakes import TOKEN, FakeServer, call, run_forwarding, serve, wait_until

from savorychute.http.http_limits import HttpLimits
from savorychute.inputs import AttemptChunk, AttemptSent, CallerLeft

HEADERS = {'authorization': f'Bearer {TOKEN}'}
CHAT_PATH = '/v1/chat/completions'
STREAM = b'{"model":"m","messages":[],"stream":true}'
DOCUMENT = b'{"model":"m","messages":[]}'
EVENT = b'id: 0\ndata: {"choices":[{"delta":{"content":"air"}}],"token_count":1}\n\n'


def start_stream(exchange):
    if not exchange.request.target.endswith('completions'):
        exchange.respond(200, [], b'{}')
        return
    exchange.start(200, [('content-type', 'text/event-stream')])
    exchange.send(EVENT)


def test_disconnected_caller_cancels_the_stream_at_once():
    """Guard against engines that generate for disconnected callers.

    A caller disconnects while its response is streamed.  An engine that keeps
    streams after a lost connection would continue to generate.  So the daemon
    aborts the connection and requests the engine to drop the stream.
    """

    async def main():
        engine = FakeServer(start_stream)
        async with (
            serve(engine) as address,
            run_forwarding(address) as (host, instance),
        ):
            async with call(host.address.caller_port) as caller:
                caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
                await caller.reader.readuntil(b'air')
            await wait_until(lambda: len(engine.exchanges) == 2)
            await wait_until(lambda: engine.exchanges[0].left)
            return instance, engine, host.attempts.in_progress

    instance, engine, in_progress = asyncio.run(main())

    assert len(instance.inputs_of(CallerLeft)) == 1
    cancel = engine.exchanges[1].request
    stream_id = engine.exchanges[0].request.header('x-stream-id')
    assert cancel.target == f'/v1/streams/{stream_id}/cancel'
    assert json.loads(cancel.body) == {'keep': False}
    assert in_progress == 0


def test_request_cancelled_while_connecting_sends_nothing():
    """Guard against the race between a cancel and the connect.

    The instance is asked again when the connection is established.  If it cancels
    the request at that moment, 'not run' is true only if no byte is sent.
    """

    async def main():
        engine = FakeServer(start_stream)
        async with (
            serve(engine) as address,
            run_forwarding(address) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            instance.cancel_when_sent = True
            caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
            await wait_until(lambda: len(instance.inputs_of(AttemptSent)) == 1)
            for _ in range(10):
                await asyncio.sleep(0.005)
            return len(engine.exchanges), host.attempts.in_progress

    assert asyncio.run(main()) == (0, 0)


class FloodingServer(FakeServer):
    """Sends events as fast as the router reads them."""

    def __init__(self):
        super().__init__(self._start_flood)
        self.sent = 0

    def _start_flood(self, exchange):
        if not exchange.request.target.endswith('completions'):
            exchange.respond(200, [], b'{}')
            return
        exchange.start(200, [('content-type', 'text/event-stream')])
        self._send_more(exchange)

    def _send_more(self, exchange):
        if exchange.left:
            return
        if not exchange.paused:
            event = EVENT.replace(b'air', b'x' * 20_000)
            exchange.send(event.replace(b'0', b'%d' % self.sent, 1))
            self.sent += 1
        asyncio.get_running_loop().call_later(0.0005, self._send_more, exchange)


async def connect_with_small_buffer(port):
    """Return a connected socket with a small receive buffer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ('127.0.0.1', port))
    return sock


def test_caller_that_stops_reading_pauses_the_engine_and_is_disconnected():
    """Guard against a caller that stops reading while its connection is open.

    The response would fill the instance's memory, or hold the engine's slot for
    ever.  So the daemon stops reading from the engine, which then waits; after
    ``stalled_ms`` the caller is disconnected and the engine's stream is cancelled.
    """

    async def main():
        engine = FloodingServer()
        limits = HttpLimits(stalled_ms=300, send_buffer_bytes=16_384)
        async with (
            serve(engine) as address,
            run_forwarding(address, http=limits) as (host, instance),
        ):
            sock = await connect_with_small_buffer(host.address.caller_port)
            async with call(None, sock=sock, limit=1) as caller:
                caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
                await wait_until(lambda: instance.inputs_of(CallerLeft))
                await wait_until(lambda: len(engine.exchanges) == 2)
                chunks = instance.inputs_of(AttemptChunk)
                return engine, sum(len(chunk.data) for chunk in chunks)

    engine, forwarded_bytes = asyncio.run(main())

    assert engine.exchanges[1].request.target.endswith('/cancel')
    assert forwarded_bytes < 2 * 1024 * 1024


def test_truncated_stream_ends_with_an_error_event():
    """Guard against a truncated stream that looks complete.

    The engine's connection breaks after the first token.  The caller's stream ends
    with an error event that states what is known, and without ``[DONE]``.
    """

    async def main():
        engine = FakeServer(start_stream)
        async with (
            serve(engine) as address,
            run_forwarding(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
            await wait_until(lambda: len(engine.exchanges) == 1)
            engine.exchanges[0].abort()
            return await caller.read_response()

    response = asyncio.run(main())

    assert b'[DONE]' not in response.body
    event = response.body.split(b'\n\n')[-2].split(b'\n')
    assert event[0] == b'event: error'
    assert json.loads(event[1].removeprefix(b'data: '))['error']['code'] == 3001
    assert response.complete


def test_truncated_document_does_not_look_complete():
    """Guard against a truncated document that looks complete.

    A plain service sends half of its response and crashes.  The connection of the
    caller ends before the last chunk, so that the caller detects the truncation.
    """

    def respond_half(exchange):
        exchange.start(200, [('content-length', '100')])
        exchange.send(b'half')
        asyncio.get_running_loop().call_later(0.02, exchange.abort)

    async def main():
        async with (
            serve(FakeServer(respond_half)) as address,
            run_forwarding(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('GET', '/v1/services/desk/visits', HEADERS)
            return await caller.read_response()

    response = asyncio.run(main())

    assert response.body == b'half'
    assert not response.complete


def test_truncated_model_document_is_refused():
    def respond_half(exchange):
        exchange.start(200, [('content-length', '100')])
        exchange.send(b'half')
        asyncio.get_running_loop().call_later(0.02, exchange.abort)

    async def main():
        async with (
            serve(FakeServer(respond_half)) as address,
            run_forwarding(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', CHAT_PATH, HEADERS, DOCUMENT)
            return await caller.read_response()

    response = asyncio.run(main())

    assert (response.status, response.headers['x-ran']) == (502, 'unknown')
    assert response.headers['retry-after'] == '2'
    assert response.headers['x-retry-after-ms'] == '1500'
