"""One HTTP request and its whole answer."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import h11

from savorychute.util.http_reply import HttpReply

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator

    from savorychute.settings.network_address import NetworkAddress

READ_BYTES = 65_536
MAX_REPLY_BYTES = 16 << 20


class NotSentError(Exception):
    """No connection came about, so no byte of the request left this host."""


class NoReplyError(Exception):
    """The request was sent, but no whole answer came back."""


class HttpRequest(NamedTuple):
    """A request with a JSON body."""

    method: str
    path: str
    body: bytes
    token: str = ''


async def exchange(
    address: NetworkAddress,
    request: HttpRequest,
    timeout_ms: int,
    tls: ssl.SSLContext | None = None,
) -> HttpReply:
    """Send *request* on a connection of its own and return the answer.

    :param address: where to connect.
    :param request: what to send.
    :param timeout_ms: for connecting, and again for the answer.
    :param tls: how to check the other side; None for plain TCP.
    :raises NotSentError: if nothing was sent.
    :raises NoReplyError: if something was sent and no whole answer came.
    """
    async with _connect(address, timeout_ms, tls) as (reader, writer):
        try:
            return await asyncio.wait_for(
                _converse(reader, writer, address, request), timeout_ms / 1000
            )
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            raise NoReplyError(f'{address}: {error or "no answer in time"}') from error


@asynccontextmanager
async def _connect(
    address: NetworkAddress, timeout_ms: int, tls: ssl.SSLContext | None
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(address.host, address.port, ssl=tls),
            timeout_ms / 1000,
        )
    except (OSError, TimeoutError) as error:
        raise NotSentError(f'{address}: {error or "no connection in time"}') from error
    try:
        yield reader, writer
    finally:
        writer.close()


async def _converse(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    address: NetworkAddress,
    request: HttpRequest,
) -> HttpReply:
    connection = h11.Connection(h11.CLIENT)
    headers = [
        ('host', str(address)),
        ('content-type', 'application/json'),
        ('content-length', str(len(request.body))),
        ('connection', 'close'),
    ]
    if request.token:
        headers.append(('authorization', f'Bearer {request.token}'))
    head = h11.Request(method=request.method, target=request.path, headers=headers)
    for event in (head, h11.Data(data=request.body), h11.EndOfMessage()):
        writer.write(connection.send(event) or b'')
    await writer.drain()
    return await _read_reply(reader, connection)


async def _read_reply(
    reader: asyncio.StreamReader, connection: h11.Connection
) -> HttpReply:
    status = 0
    headers: dict[str, str] = {}
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REPLY_BYTES:
                raise h11.RemoteProtocolError('the answer is too long')
        elif isinstance(event, h11.EndOfMessage):
            return HttpReply(status, headers, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError('the connection closed before the end')
