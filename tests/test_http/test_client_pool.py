"""Tests of calls to servers that fail in different ways."""

from __future__ import annotations

import asyncio

import pytest
from pool_fixture import GET, OK, raw_server, read_head

from savorychute.clock import SystemClock
from savorychute.http.call_failure import CallFailure
from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.http.http_request import HttpRequest
from savorychute.http.http_response import HttpResponse
from savorychute.http.timed_call import fetch


def call_one(handle, timeout_ms=5_000, **limits):
    async def main():
        async with raw_server(handle) as address:
            with open_pool(PoolSettings(**limits), SystemClock()) as pool:
                return await fetch(pool, address, GET, timeout_ms)

    return asyncio.run(main())


@pytest.mark.parametrize(
    'response, reason',
    [
        (b'', 'connection closed'),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf', 'connection closed'),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
            'connection closed',
        ),
        (b'nonsense\r\n\r\n', 'illegal status line'),
        (b'HTTP/1.1 200 OK\r\nx: ' + b'a' * 99_000, 'Receive buffer too long'),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' + b'1' * 99_000,
            'Receive buffer too long',
        ),
    ],
)
def test_invalid_response_fails_as_sent_and_broken(response, reason):
    async def handle(reader, writer, number):
        await read_head(reader)
        writer.write(response)
        await writer.drain()

    failure = call_one(handle)

    assert isinstance(failure, CallFailure)
    assert (failure.sent, failure.broken) == (True, True)
    assert reason in failure.reason


def test_response_without_a_length_ends_with_the_connection():
    async def handle(reader, writer, number):
        await read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it')

    response = call_one(handle)

    assert isinstance(response, HttpResponse)
    assert response.body == b'all of it'


def test_call_to_a_closed_port_fails_as_not_sent():
    async def main():
        async with raw_server(None) as address:
            pass
        with open_pool(PoolSettings(), SystemClock()) as pool:
            return await fetch(pool, address, GET, 5_000)

    failure = asyncio.run(main())

    assert (failure.sent, failure.broken) == (False, False)


def test_unresponsive_server_times_out_as_sent():
    async def handle(reader, writer, number):
        await reader.read()

    failure = call_one(handle, timeout_ms=50)

    assert (failure.sent, failure.broken, failure.reason) == (True, False, 'timeout')


def test_call_over_the_connection_limit_fails_as_not_sent():
    async def handle(reader, writer, number):
        await reader.read()

    failure = call_one(handle, connections=0)

    assert (failure.sent, failure.reason) == (False, 'too many connections')


def test_bytes_beyond_the_response_close_the_connection():
    """Guard against response splitting.

    A server sends two responses to one request.  On a reused connection, the
    second would be matched to the next caller's request.
    """
    numbers = []

    async def handle(reader, writer, number):
        while await read_head(reader):
            numbers.append(number)
            writer.write(OK + OK.replace(b'ok', b'no'))

    async def main():
        async with raw_server(handle) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                first = await fetch(pool, address, GET, 5_000)
                second = await fetch(pool, address, GET, 5_000)
                return first.body, second.body

    assert asyncio.run(main()) == (b'ok', b'ok')
    assert numbers == [0, 1]


def test_early_response_closes_the_connection():
    """Guard against reuse while the server still reads the request body.

    The server responds at once, keeps the connection open and continues to read the
    body.  It would read the next request on that connection as the rest of the body.
    """
    numbers = []

    async def respond_early(reader, writer, number):
        await read_head(reader)
        numbers.append(number)
        writer.write(OK)
        await asyncio.sleep(1)

    async def main():
        async with raw_server(respond_early) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                large_request = HttpRequest('POST', '/', (), b'x' * 8_000_000)
                for request in (large_request, GET):
                    assert isinstance(
                        await fetch(pool, address, request, 5_000), HttpResponse
                    )

    asyncio.run(main())
    assert numbers == [0, 1]
