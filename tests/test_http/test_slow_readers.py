"""Tests of callers and servers that read slowly."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from pool_fixture import raw_server, read_head

from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_request import HttpRequest
from savorychute.http.http_server import HttpServer, listen
from savorychute.http.slow_caller import SlowCallerReason
from savorychute.http.timed_call import fetch
from savorychute.testing.virtual_loop import LoopClock, run_virtual

GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
GET_AND_CLOSE = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
BODY_BYTES = 400_000
SMALL_BUFFER = 8_192
TEST_S = 600


@asynccontextmanager
async def run_server(body_bytes=BODY_BYTES, **limits):
    """Run a server that responds to each request with a long body."""
    ended = []

    def respond(exchange):
        exchange.respond(200, (), b'x' * body_bytes)

    settings = HttpLimits(send_buffer_bytes=SMALL_BUFFER, **limits)
    server = HttpServer(settings, LoopClock(), respond)
    server.on_slow_caller = lambda reason, size: ended.append((reason, size))
    async with listen(server, '127.0.0.1', 0):
        yield server, ended


async def connect(port, request=GET):
    """Return a socket with a small receive buffer on which a request was sent."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ('127.0.0.1', port))
    await loop.sock_sendall(sock, request)
    return sock


async def read_all(sock, part_bytes, pause_s, body_bytes=BODY_BYTES):
    """Return how many bytes arrive, read part by part."""
    loop = asyncio.get_running_loop()
    total = 0
    while total < body_bytes:
        data = await loop.sock_recv(sock, part_bytes)
        if not data:
            break
        total += len(data)
        await asyncio.sleep(pause_s)
    return total


def run(scenario):
    async def main():
        async with asyncio.timeout(TEST_S):
            return await scenario()

    return run_virtual(main())


def test_caller_that_reads_slowly_gets_its_whole_response():
    """Guards against a caller that is disconnected while it reads.

    Its response takes longer than a response may wait for a caller that reads nothing.
    """

    async def scenario():
        async with run_server(stalled_ms=1_000) as (server, ended):
            with await connect(server.port) as sock:
                return await read_all(sock, 8_000, 0.1), ended

    read_bytes, ended = run(scenario)
    assert read_bytes >= BODY_BYTES
    assert ended == []


def test_caller_that_reads_nothing_is_ended():
    async def scenario():
        async with run_server(stalled_ms=1_000) as (server, ended):
            with await connect(server.port):
                while not ended:
                    await asyncio.sleep(0.1)
                return ended

    ((reason, unread_bytes),) = run(scenario)
    assert reason is SlowCallerReason.STALLED
    assert unread_bytes > BODY_BYTES / 2


def test_slowest_callers_are_ended_and_others_get_whole_responses():
    """Guards against slow callers that together exhaust the memory.

    Some read nothing; the others read, and must not be ended in their place.
    """

    async def scenario():
        async with (
            AsyncExitStack() as stack,
            run_server(unread_bytes=5 * BODY_BYTES, stalled_ms=60_000) as (
                server,
                ended,
            ),
        ):
            unread = []
            readers = []
            for number in range(12):
                sock = stack.enter_context(await connect(server.port))
                if number % 3 == 0:
                    readers.append(asyncio.create_task(read_all(sock, 20_000, 0.1)))
                await asyncio.sleep(1)
                unread.append(server.unread_bytes)
            return unread, await asyncio.gather(*readers), ended

    unread, read_bytes, ended = run(scenario)
    assert max(unread) <= 5 * BODY_BYTES
    assert min(read_bytes) >= BODY_BYTES
    assert len(ended) >= 3
    assert {reason for reason, _ in ended} == {SlowCallerReason.MEMORY}


def test_large_request_body_is_not_copied_for_a_slow_server():
    """Guards against a copy of each body that endpoints have not read yet."""
    body = bytes(range(256)) * 8_192
    received = []
    buffered = []

    async def read_slowly(reader, writer, number):
        await read_head(reader)
        await asyncio.sleep(1)
        received.append(await reader.readexactly(len(body)))
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
        await read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')

    async def scenario():
        async with raw_server(read_slowly) as address:
            with open_pool(PoolSettings(), LoopClock()) as pool:
                post = HttpRequest('POST', '/', (), body)
                call = asyncio.create_task(fetch(pool, address, post, 60_000))
                await asyncio.sleep(0.5)
                (connection,) = pool._open
                buffered.append(connection._transport.get_write_buffer_size())
                first = await call
                second = await fetch(pool, address, HttpRequest('GET', '/'), 60_000)
                return first.status, second.status, pool.reuses

    assert run(scenario) == (200, 200, 1)
    assert received == [body]
    assert buffered[0] <= 256 * 1024


@pytest.mark.parametrize('request_bytes', [GET, GET_AND_CLOSE])
@pytest.mark.parametrize('size_bytes', range(60_000, 76_000, 2_000))
def test_deadlines_after_a_response_begin_when_it_was_written(
    request_bytes, size_bytes
):
    """Guards against a response whose last bytes a slow reader does not get.

    They are few enough for the response not to count as paused.
    """

    async def scenario():
        limits = {'linger_ms': 500, 'idle_timeout_ms': 500, 'stalled_ms': 5_000}
        async with run_server(size_bytes, **limits) as (server, ended):
            with await connect(server.port, request_bytes) as sock:
                return await read_all(sock, 2_000, 0.4, size_bytes), ended

    read_bytes, ended = run(scenario)
    assert read_bytes >= size_bytes
    assert ended == []


def test_caller_that_does_not_read_the_end_of_a_response_is_ended():
    """Guards against a connection that stays for ever for the sake of its last bytes."""

    async def scenario():
        limits = {'linger_ms': 500, 'stalled_ms': 1_000}
        async with run_server(70_000, **limits) as (server, _):
            with await connect(server.port, GET_AND_CLOSE):
                await asyncio.sleep(10)
                return server.open_connections

    assert run(scenario) == 0


def test_response_that_is_read_does_not_yield_its_place():
    """Guards against a caller that loses a response because a crowd needs its place."""

    async def scenario():
        async with (
            run_server(connections=3) as (server, ended),
            AsyncExitStack() as stack,
        ):
            reader = stack.enter_context(await connect(server.port, GET_AND_CLOSE))
            reading = asyncio.create_task(read_all(reader, 8_000, 0.1))
            for _ in range(20):
                await asyncio.sleep(0.05)
                stack.enter_context(await connect(server.port, b''))
            return await reading, ended

    read_bytes, ended = run(scenario)
    assert read_bytes >= BODY_BYTES
    assert ended == []
