"""An endpoint that sends an extra response before the one to the next request."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import h11

from savorychute.http.client_pool import ServerAddress

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ID_HEADER = 'x-attempt-id'
REFUSAL = (('x-not-started', '1'),)


class Extra(NamedTuple):
    """An extra response; a ``named`` one bears the id of the request before.

    ``status`` is that of the extra response; a 200 is a copy of the one before.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = REFUSAL
    named: bool = False


class LateEndpoint:
    """Runs each request and responds with its id.

    :param extra: sent when a further request on a connection has been read.
    :param naming: whether responses name their request.
    """

    def __init__(self, extra: Extra | None = None, *, naming: bool = False) -> None:
        self.extra = extra
        self.naming = naming
        self.refusing = False
        # The status of the responses to requests that were run.
        self.status = 200
        self.runs: list[tuple[str, bytes]] = []
        self.connections = 0
        self.extras_sent = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        http = h11.Connection(h11.SERVER)
        previous: str | None = None
        try:
            while request := await _read_request(http, reader):
                previous = await self._answer(http, writer, request, previous)
        except (ConnectionError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        request: tuple[str, bytes],
        previous: str | None,
    ) -> str:
        attempt_id, body = request
        if previous is not None and self.extra is not None:
            self.extras_sent += 1
            status, headers, named = self.extra
            writer.write(_make_response(status, previous, named, headers))
            await writer.drain()
        if self.refusing:
            response = _make_response(503, attempt_id, self.naming, REFUSAL)
        else:
            self.runs.append((attempt_id, body))
            response = _make_response(self.status, attempt_id, self.naming)
        writer.write(response)
        await writer.drain()
        # The response has been sent as bytes; this state machine only follows.
        http.send(h11.Response(status_code=200, headers=[('content-length', '0')]))
        http.send(h11.EndOfMessage())
        http.start_next_cycle()
        return attempt_id


@asynccontextmanager
async def serve_late(endpoint: LateEndpoint) -> AsyncIterator[ServerAddress]:
    """Serve an endpoint until the block ends."""
    server = await asyncio.start_server(endpoint.handle, '127.0.0.1', 0)
    try:
        yield ServerAddress('127.0.0.1', server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def _read_request(
    http: h11.Connection, reader: asyncio.StreamReader
) -> tuple[str, bytes] | None:
    attempt_id = ''
    body = b''
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Request):
            headers = {name.decode(): value.decode() for name, value in event.headers}
            attempt_id = headers.get(ID_HEADER, '')
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return attempt_id, body
        else:
            return None


def _make_response(
    status: int,
    attempt_id: str,
    named: bool,
    headers: tuple[tuple[str, str], ...] = (),
) -> bytes:
    document = {'choices': [], 'run': attempt_id, 'offset': 0}
    body = json.dumps(document).encode()
    lines = [
        f'HTTP/1.1 {status} X',
        'content-type: application/json',
        'keep-alive: timeout=5',
        f'content-length: {len(body)}',
        *(f'{name}: {value}' for name, value in headers),
    ]
    if named:
        lines.append(f'{ID_HEADER}: {attempt_id}')
    return '\r\n'.join([*lines, '', '']).encode() + body
