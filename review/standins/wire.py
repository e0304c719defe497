"""Reading and writing of HTTP/1.1 messages, for the stand-ins."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import NamedTuple

LOOPBACK = '127.0.0.1'
READ_LIMIT_BYTES = 1 << 20
# Closes a socket with a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Message(NamedTuple):
    """A request or a response; ``start`` holds the three parts of its first line.

    ``whole`` is false if the connection ended before the end of the body.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes
    whole: bool = True


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[tuple[str, str, str], dict[str, str]] | None:
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    first, second, third = [*lines[0].split(' ', 2), '', ''][:3]
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return (first, second, third), headers


async def read_message(
    reader: asyncio.StreamReader, *, is_request: bool
) -> Message | None:
    """Return the next message, or None if the connection ended before its head.

    :param reader: the connection.
    :param is_request: whether it is a request, which has no body unless it says so.
    """
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    body = bytearray()
    whole = True
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            await _read_chunks(reader, body)
        elif 'content-length' in headers:
            body += await reader.readexactly(int(headers['content-length']))
        elif not is_request and start[1] not in ('204', '304'):
            while data := await reader.read(65_536):
                body += data
    except asyncio.IncompleteReadError as error:
        body += error.partial
        whole = False
    except ConnectionError:
        whole = False
    return Message(start, headers, bytes(body), whole)


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        if size:
            body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


def encode_response(
    status: int, headers: dict[str, str], body: bytes | None = b''
) -> bytes:
    """Return a response; without a body, the caller sends it and ends the connection.

    :param status: its status.
    :param headers: its headers.
    :param body: the whole body; None for one without a length.
    """
    lines = [f'HTTP/1.1 {status} X', *(f'{key}: {headers[key]}' for key in headers)]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a request with a length.

    :param method: its method.
    :param target: its path and query.
    :param headers: its headers.
    :param body: its body.
    """
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{key}: {headers[key]}' for key in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw_socket = writer.transport.get_extra_info('socket')
    if raw_socket is not None and not writer.transport.is_closing():
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((LOOPBACK, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
