"""A small HTTP/1.1 server for stand-ins; it serves one request after the other."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LOOPBACK = '127.0.0.1'


class Request(NamedTuple):
    """A whole request; the names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Exchange:
    """A request on a connection, and the ways to answer it."""

    def __init__(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.request = request
        self.reader = reader
        self.writer = writer
        self.keeps_connection = True

    async def respond(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Send a whole response."""
        head = {**headers, 'content-length': str(len(body))}
        self.writer.write(encode_head(status, head) + body)
        await self.writer.drain()

    async def begin_chunks(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a response in chunks."""
        head = {**headers, 'transfer-encoding': 'chunked'}
        self.writer.write(encode_head(status, head))
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the response."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))
        await self.writer.drain()


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


class HttpServer:
    """Serves requests until it is stopped.

    :param handle: answers one request.
    """

    def __init__(self, handle: Callable[[Exchange], Awaitable[None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 means any free one."""
        self._server = await asyncio.start_server(
            self._handle_connection, LOOPBACK, port
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Accept no further connections, and abort the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                exchange = Exchange(request, reader, writer)
                await self._handle(exchange)
                if not exchange.keeps_connection:
                    break
        self._writers.discard(writer)
        writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    fields = (line.partition(':') for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Request(method, target, headers, body)
