"""Tests of callers that leave, stall or get cut answers."""

from __future__ import annotations

import asyncio
import json
import socket

from daemon_fakes import TOKEN, SmallServer, call, run_passing, serve, wait_until

from savorychute.http.http_limits import HttpLimits
from savorychute.inputs import AttemptChunk, AttemptSent, CallerLeft

HEADERS = {'authorization': f'Bearer {TOKEN}'}
CHAT_PATH = '/v1/chat/completions'
STREAM = b'{"model":"m","messages":[],"stream":true}'
WHOLE = b'{"model":"m","messages":[]}'
EVENT = b'id: 0\ndata: {"choices":[{"delta":{"content":"air"}}],"token_count":1}\n\n'


def begin_stream(exchange):
    if not exchange.request.target.endswith('completions'):
        exchange.respond(200, [], b'{}')
        return
    exchange.start(200, [('content-type', 'text/event-stream')])
    exchange.send(EVENT)


def test_caller_that_leaves_cancels_the_stream_at_once():
    """Caller leaves.

    A technician closes the page while the answer streams.  An engine that
    keeps streams over a lost connection would go on generating for nobody.
    The daemon cuts the connection and tells the engine to drop the stream.
    """

    async def main():
        engine = SmallServer(begin_stream)
        async with (
            serve(engine) as address,
            run_passing(address) as (host, instance),
        ):
            async with call(host.address.caller_port) as caller:
                caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
                await caller.reader.readuntil(b'air')
            await wait_until(lambda: len(engine.exchanges) == 2)
            await wait_until(lambda: engine.exchanges[0].left)
            return instance, engine, host.attempts.in_progress

    instance, engine, in_progress = asyncio.run(main())

    assert len(instance.of(CallerLeft)) == 1
    cancel = engine.exchanges[1].request
    stream_id = engine.exchanges[0].request.header('x-stream-id')
    assert cancel.target == f'/v1/streams/{stream_id}/cancel'
    assert json.loads(cancel.body) == {'keep': False}
    assert in_progress == 0


def test_request_cancelled_while_connecting_sends_nothing():
    """Cancel races with the connect.

    The instance is asked once more when the connection stands.  If it gives
    the request up at that moment, 'not run' is true only if no byte follows.
    """

    async def main():
        engine = SmallServer(begin_stream)
        async with (
            serve(engine) as address,
            run_passing(address) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            instance.cancel_when_sent = True
            caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
            await wait_until(lambda: len(instance.of(AttemptSent)) == 1)
            for _ in range(10):
                await asyncio.sleep(0.005)
            return len(engine.exchanges), host.attempts.in_progress

    assert asyncio.run(main()) == (0, 0)


class CountingServer(SmallServer):
    """Sends events as fast as the router takes them."""

    def __init__(self):
        super().__init__(self._flood)
        self.sent = 0

    def _flood(self, exchange):
        if not exchange.request.target.endswith('completions'):
            exchange.respond(200, [], b'{}')
            return
        exchange.start(200, [('content-type', 'text/event-stream')])
        self._more(exchange)

    def _more(self, exchange):
        if exchange.left:
            return
        if not exchange.paused:
            event = EVENT.replace(b'air', b'x' * 20_000)
            exchange.send(event.replace(b'0', b'%d' % self.sent, 1))
            self.sent += 1
        asyncio.get_running_loop().call_later(0.0005, self._more, exchange)


async def connect_small(port):
    """Return a connected socket with a small receive buffer."""
    small = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    small.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(small, ('127.0.0.1', port))
    return small


def test_caller_that_stops_reading_slows_the_engine_and_is_given_up():
    """Caller stops reading.

    A phone goes into a tunnel with its connection open.  The answer would
    fill the instance's memory, or the engine's slot would be held for ever.
    Reading from the engine stops, so the engine waits; after the bound the
    request is given up and the engine is told.
    """

    async def main():
        engine = CountingServer()
        limits = HttpLimits(stalled_ms=300, send_buffer_bytes=16_384)
        async with (
            serve(engine) as address,
            run_passing(address, http=limits) as (host, instance),
        ):
            small = await connect_small(host.address.caller_port)
            async with call(None, sock=small, limit=1) as caller:
                caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
                await wait_until(lambda: instance.of(CallerLeft))
                await wait_until(lambda: len(engine.exchanges) == 2)
                chunks = instance.of(AttemptChunk)
                return engine, sum(len(chunk.data) for chunk in chunks)

    engine, passed_bytes = asyncio.run(main())

    assert engine.exchanges[1].request.target.endswith('/cancel')
    assert passed_bytes < 2 * 1024 * 1024


def test_stream_that_breaks_off_ends_with_an_error_event():
    """Engine crashes mid-stream.

    The engine's connection breaks after the first token.  A stream that just
    ended would pass for a whole answer, so it ends with an error event that
    says what is known, and without ``[DONE]``.
    """

    async def main():
        engine = SmallServer(begin_stream)
        async with (
            serve(engine) as address,
            run_passing(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', CHAT_PATH, HEADERS, STREAM)
            await wait_until(lambda: len(engine.exchanges) == 1)
            engine.exchanges[0].abort()
            return await caller.read_answer()

    answer = asyncio.run(main())

    assert b'[DONE]' not in answer.body
    event = answer.body.split(b'\n\n')[-2].split(b'\n')
    assert event[0] == b'event: error'
    assert json.loads(event[1].removeprefix(b'data: '))['error']['code'] == 3001
    assert answer.whole


def test_document_that_breaks_off_is_not_passed_as_whole():
    """Service breaks off.

    A plain service sends half of its answer and crashes.  The caller must not
    take the half for the whole, so its connection ends before the last chunk.
    """

    def answer_half(exchange):
        exchange.start(200, [('content-length', '100')])
        exchange.send(b'half')
        asyncio.get_running_loop().call_later(0.02, exchange.abort)

    async def main():
        async with (
            serve(SmallServer(answer_half)) as address,
            run_passing(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('GET', '/v1/services/desk/visits', HEADERS)
            return await caller.read_answer()

    answer = asyncio.run(main())

    assert answer.body == b'half'
    assert not answer.whole


def test_model_document_that_breaks_off_is_refused_whole():
    def answer_half(exchange):
        exchange.start(200, [('content-length', '100')])
        exchange.send(b'half')
        asyncio.get_running_loop().call_later(0.02, exchange.abort)

    async def main():
        async with (
            serve(SmallServer(answer_half)) as address,
            run_passing(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', CHAT_PATH, HEADERS, WHOLE)
            return await caller.read_answer()

    answer = asyncio.run(main())

    assert (answer.status, answer.headers['x-ran']) == (502, 'unknown')
    assert answer.headers['retry-after'] == '2'
    assert answer.headers['x-retry-after-ms'] == '1500'
