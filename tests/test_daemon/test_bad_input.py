"""Tests of invalid input, which gets a 4xx status with a code and has no effect."""

from __future__ import annotations

import asyncio
import json

import pytest
from daemon_fakes import TOKEN, FakeServer, call, run_forwarding, serve, wait_until

from savorychute.http.http_limits import HttpLimits
from savorychute.inputs import CallerRequest

HEADERS = {'authorization': f'Bearer {TOKEN}', 'x-request-class': 'diagnosis'}
CHAT_PATH = '/v1/chat/completions'
CHAT = b'{"model":"m","messages":[]}'
SMALL_LIMITS = HttpLimits(header_bytes=4_096, body_bytes=4_096, buffered_bytes=6_000)
CHAT_HEAD = b'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'


def respond_ok(exchange):
    exchange.respond(200, [('content-type', 'application/json')], b'{}')


def send_raw(raw, limits=SMALL_LIMITS):
    """Send bytes to a daemon; return the response and the instance."""

    async def main():
        async with (
            run_forwarding(http=limits) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.writer.write(raw)
            return await caller.read_response(), instance

    return asyncio.run(main())


def make_chat(body):
    return CHAT_HEAD + b'content-length: %d\r\n\r\n%b' % (len(body), body)


@pytest.mark.parametrize(
    'raw, status, code',
    [
        (b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n', 400, '1001'),
        (b'GET /healthz\r\n\r\n', 400, '1001'),
        (b'GET /healthz HTTP/1.1\r\n\r\n', 400, '1001'),
        (b'GET /healthz HTTP/1.0\r\nhost: x\r\n\r\n', 400, '1001'),
        (CHAT_HEAD + b'content-length: -1\r\n\r\n', 400, '1001'),
        (CHAT_HEAD + b'content-length: 1\r\ncontent-length: 2\r\n\r\n', 400, '1001'),
        (CHAT_HEAD + b'transfer-encoding: chunked\r\n\r\nzz\r\n', 400, '1001'),
        (
            CHAT_HEAD + b'content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{}',
            400,
            '1001',
        ),
        (CHAT_HEAD + b'x-long: ' + b'a' * 9_000, 431, '1009'),
        (CHAT_HEAD + b'content-length: 9000\r\n\r\n', 413, '1010'),
        (
            CHAT_HEAD + b'transfer-encoding: chunked\r\n\r\n1388\r\n' + b'a' * 5_000,
            413,
            '1010',
        ),
        (make_chat(b''), 400, '1002'),
        (make_chat(b'{"model":'), 400, '1002'),
        (make_chat(b'\xff\xfe'), 400, '1002'),
        (make_chat(b'{"model":"m","messages":[],"x":' + b'[' * 4_000), 400, '1002'),
        (make_chat(b'{"model":"m","messages":' + b'[' * 4_000), 400, '1003'),
        (make_chat(b'[]'), 400, '1003'),
        (make_chat(b'{"model":7,"messages":[]}'), 400, '1003'),
        (make_chat(b'{"model":"","messages":[]}'), 400, '1003'),
        (make_chat(b'{"model":"m"}'), 400, '1003'),
        (make_chat(b'{"model":"m","messages":[],"max_tokens":-1}'), 400, '1003'),
        (make_chat(b'{"model":"m","messages":[],"stream":"yes"}'), 400, '1003'),
        (b'GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\r\n', 405, '1012'),
        (b'GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n', 404, '1008'),
        (b'GET /v1/services/ HTTP/1.1\r\nhost: x\r\n\r\n', 404, '1008'),
        (b'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n', 404, '1008'),
    ],
)
def test_bad_input_is_refused_without_effect(raw, status, code):
    response, instance = send_raw(raw)

    assert (response.status, response.headers['x-result-code']) == (status, code)
    assert response.headers['x-ran'] == 'not-run'
    assert json.loads(response.body)['error']['code'] == int(code)
    assert instance.inputs_of(CallerRequest) == []


@pytest.mark.parametrize(
    'raw',
    [
        make_chat(b'{'),
        make_chat(b'{"model":"","messages":[]}'),
        CHAT_HEAD + b'content-length: 9000\r\n\r\n',
        b'GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n',
    ],
)
@pytest.mark.parametrize('header', [b'x-request-key', b'X-Continuation-Handle'])
def test_refusal_does_not_state_not_run_for_a_repeated_request(raw, header):
    """Guard against a false 'not run' for a request that was sent before.

    A request ran and its response was lost.  Its caller sends it again with the same
    key and a truncated body.  That second request did not run, but if the response
    said so, the caller would send the same work again under a new key.
    """
    response, _ = send_raw(raw.replace(b'host: x', b'host: x\r\n' + header + b': k'))

    assert response.status >= 400
    assert response.headers['x-ran'] == 'unknown'


def test_slow_sender_gets_a_timeout_response():
    """Guard against callers that send half a request and then nothing.

    Without a timeout each such caller holds a connection for ever, and a few
    hundred of them block all others.  It gets 408 and is disconnected.
    """
    response, instance = send_raw(
        CHAT_HEAD + b'content-length: 100\r\n\r\n{"mod',
        HttpLimits(body_timeout_ms=50),
    )

    assert (response.status, response.headers['x-result-code']) == (408, '1011')
    assert instance.inputs_of(CallerRequest) == []


def test_idle_connection_is_closed():
    async def main():
        limits = HttpLimits(idle_timeout_ms=50)
        async with (
            run_forwarding(http=limits) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            try:
                data = await asyncio.wait_for(caller.reader.read(100), 10)
            except ConnectionResetError:
                data = b''
            await wait_until(lambda: host.server.open_connections == 0)
            return data

    assert asyncio.run(main()) == b''


def test_size_of_bodies_is_limited_over_all_connections():
    """Guard against many large bodies at once.

    Several callers each send most of a permitted body and wait.  Each is within
    its own limit, but all bodies together would exhaust the instance's memory.  The
    one that exceeds the common limit is refused; the others get their responses.
    """

    async def main():
        engine = FakeServer(respond_ok)
        body = CHAT[:-1] + b',"pad":"' + b'a' * 3_000 + b'"}'
        async with (
            serve(engine) as address,
            run_forwarding(address, http=SMALL_LIMITS) as (host, _),
            call(host.address.caller_port) as first,
            call(host.address.caller_port) as second,
        ):
            request = make_chat(body).replace(
                b'host: x', b'host: x\r\nauthorization: Bearer secret'
            )
            first.writer.write(request[:-10])
            await wait_until(lambda: host.server.buffered_bytes > 2_000)
            second.writer.write(request)
            refused = await second.read_response()
            first.writer.write(request[-10:])
            return refused, await first.read_response(), host.server.buffered_bytes

    refused, accepted, buffered_bytes = asyncio.run(main())

    assert (refused.status, refused.headers['x-result-code']) == (503, '2014')
    assert accepted.status == 200
    assert buffered_bytes == 0


def test_connections_over_the_limit_are_refused_with_a_reason():
    """Guard against a limit that cuts off requests in progress."""

    async def main():
        engine = FakeServer(id)
        limits = HttpLimits(connections=2)
        async with (
            serve(engine) as address,
            run_forwarding(address, http=limits) as (host, _),
            call(host.address.caller_port) as first,
            call(host.address.caller_port) as second,
        ):
            for caller in (first, second):
                caller.write_request('POST', CHAT_PATH, HEADERS, CHAT)
            await wait_until(lambda: len(engine.exchanges) == 2)
            async with call(host.address.caller_port) as third:
                refused = await third.read_response()
            for exchange in engine.exchanges:
                respond_ok(exchange)
            return refused, [await each.read_response() for each in (first, second)]

    refused, accepted = asyncio.run(main())

    assert (refused.status, refused.headers['x-result-code']) == (503, '2009')
    assert refused.headers['x-ran'] == 'unknown'
    assert int(refused.headers['retry-after']) >= 1
    assert [each.status for each in accepted] == [200, 200]


def test_pipelined_requests_get_responses_in_order():
    async def main():
        async with (
            run_forwarding() as (host, _),
            call(host.address.caller_port) as caller,
        ):
            paths = (b'/healthz', b'/nothing', b'/readyz', b'/v1/keys')
            caller.writer.write(
                b''.join(b'GET %b HTTP/1.1\r\nhost: x\r\n\r\n' % path for path in paths)
            )
            return await _read_until(caller, b'1012')

    data = asyncio.run(main())

    positions = [
        data.index(marker) for marker in (b'\r\nok', b'no path', b'ready', b'1012')
    ]
    assert positions == sorted(positions)


async def _read_until(caller, marker):
    data = b''
    async with asyncio.timeout(10):
        while marker not in data:
            data += await caller.reader.read(65_536)
    return data


def test_pipelined_bytes_are_limited():
    """Guard against unlimited pipelining.

    While one request waits for a slow engine, its caller sends further requests
    without reading.  They would accumulate in memory, so beyond the limit the
    socket is not read, and the caller's own buffers fill.
    """

    async def main():
        engine = FakeServer(id)
        async with (
            serve(engine) as address,
            run_forwarding(address, http=HttpLimits(pipelined_bytes=10_000)) as (
                host,
                _,
            ),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', CHAT_PATH, HEADERS, CHAT)
            await wait_until(lambda: len(engine.exchanges) == 1)
            line = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
            caller.writer.write(line * 1_000_000)
            connection = next(iter(host.server.connections))
            await wait_until(lambda: connection.pipelined_bytes > 10_000)
            for _ in range(20):
                await asyncio.sleep(0.005)
            return connection.pipelined_bytes

    assert asyncio.run(main()) < 10_000 + 512 * 1024


def test_pipelined_requests_continue_after_the_limit_was_exceeded():
    async def main():
        engine = FakeServer(respond_ok)
        async with (
            serve(engine) as address,
            run_forwarding(address, http=HttpLimits(pipelined_bytes=100)) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', CHAT_PATH, HEADERS, CHAT)
            count = 200
            line = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
            caller.writer.write(line * count)
            data = b''
            async with asyncio.timeout(10):
                while data.count(b'\r\nok\n') < count:
                    data += await caller.reader.read(65_536)
            return data.count(b'HTTP/1.1 200')

    assert asyncio.run(main()) == 201


def test_head_request_gets_no_body():
    async def main():
        async with (
            run_forwarding() as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('HEAD', '/nothing', {})
            return await caller.read_response()

    response = asyncio.run(main())

    assert (response.status, response.headers['x-result-code']) == (404, '1008')
