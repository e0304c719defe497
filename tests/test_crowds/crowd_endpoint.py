"""An endpoint that reads requests as they come and answers what they ask for."""

from __future__ import annotations

import asyncio
from contextlib import suppress

LOOPBACK = '127.0.0.1'
READ_BYTES = 64 * 1024


class CrowdEndpoint:
    """Answers requests for ``/a/SIZE/DELAY``: a body of that size, after milliseconds.

    :param name: identifies this run of the endpoint.
    """

    def __init__(self, name):
        self.name = name
        self.port = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        start, *lines = head.split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        left = int(headers.get('content-length', 0))
        while left:
            data = await reader.read(min(left, READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b'', left)
            left -= len(data)
        size, delay_ms = parse_target(start.split()[1])
        await asyncio.sleep(delay_ms / 1_000)
        writer.write(
            f'HTTP/1.1 200 OK\r\nattempt-id: {headers.get("attempt-id", "")}\r\n'
            f'server-signature: s\r\ncontent-length: {size}\r\n\r\n'.encode()
        )
        writer.write(bytes(size))
        await writer.drain()


def parse_target(target):
    """Return the size of the answer and the delay in milliseconds."""
    numbers = [int(part) for part in target.split('/') if part.isdecimal()]
    return numbers if len(numbers) == 2 else (4, 0)
