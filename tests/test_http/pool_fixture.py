"""Servers that send raw bytes, for tests of the connection pool."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest

GET = HttpRequest('GET', '/')
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


@asynccontextmanager
async def raw_server(handle):
    """Run a server; *handle* gets reader, writer and the connection's number."""
    numbers = iter(range(1_000))

    async def accept(reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await handle(reader, writer, next(numbers))
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    async with server:
        yield ServerAddress('127.0.0.1', server.sockets[0].getsockname()[1])


async def read_head(reader):
    return await reader.readuntil(b'\r\n\r\n')


def respond_to_all(numbers):
    """Return a handler that responds and records its connection's number."""

    async def handle(reader, writer, number):
        while await read_head(reader):
            numbers.append(number)
            writer.write(OK)

    return handle
