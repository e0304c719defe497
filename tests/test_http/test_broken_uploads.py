"""Tests of servers that respond before they have received the whole body."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from pool_fixture import raw_server, read_head

from savorychute.clock import SystemClock
from savorychute.http.call_failure import CallFailure
from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.http.http_request import HttpRequest
from savorychute.http.timed_call import fetch

UPLOAD = HttpRequest('POST', '/', (), bytes(8_000_000))
PART = b'HTTP/1.1 200 OK\r\n\r\n' + b'part'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
TRIES = 20


async def reset(writer):
    """Reset the connection at once."""
    raw_socket = writer.get_extra_info('socket')
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def close_unread(writer):
    """Close the connection with received bytes that were not read, which resets it."""
    writer.close()


async def reset_later(writer):
    """Reset the connection when the client has read the part."""
    await asyncio.sleep(0.01)
    await reset(writer)


async def end_then_reset(writer):
    """End the response as if it were whole, and reset the connection."""
    writer.write_eof()
    await asyncio.sleep(0.01)
    await reset(writer)


@pytest.mark.parametrize('end', [reset, close_unread, reset_later, end_then_reset])
def test_response_to_an_upload_that_was_broken_off_is_not_complete(end):
    """Guards against a part of a response that looks whole.

    The response has no length, so it ends with its connection, which the server
    resets while the body of the request is still being sent.
    """

    async def handle(reader, writer, _):
        await read_head(reader)
        writer.write(PART)
        await end(writer)

    async def main():
        async with raw_server(handle) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                return [await fetch(pool, address, UPLOAD, 5_000) for _ in range(TRIES)]

    outcomes = asyncio.run(main())

    assert all(isinstance(each, CallFailure) for each in outcomes)
    assert all(each.sent for each in outcomes)


@pytest.mark.parametrize('status', ['000', '001', '099'])
def test_status_that_is_none_fails_the_call(status):
    """Guards against a server in trouble whose status is no status."""

    async def handle(reader, writer, _):
        await read_head(reader)
        writer.write(f'HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nno'.encode())

    async def main():
        async with raw_server(handle) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                return await fetch(pool, address, HttpRequest('GET', '/'), 5_000)

    outcome = asyncio.run(main())

    assert isinstance(outcome, CallFailure)
    assert outcome.sent
