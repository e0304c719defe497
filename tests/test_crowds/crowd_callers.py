"""Callers that send what the limits allow, and do not behave otherwise."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress

from crowd_endpoint import LOOPBACK

HOST = 'desk.example'
KEY = 'kochi-key'
PART_BYTES = 64 * 1024
RETRY_S = 0.2
# A caller that is refused at once tries again; one that waits for ever fails its test.
ORDINARY_S = 12
ANSWER_S = 5
_ids = itertools.count(1)


def encode_head(target='/a/4/0', method='POST', key=KEY, **headers):
    """Return the head of a request; underscores in names stand for hyphens."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: attempt-{next(_ids)}',
        'Deadline-Ms: 9000',
        f'Authorization: Bearer {key}',
        *(f'{name.replace("_", "-")}: {value}' for name, value in headers.items()),
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def encode_request(size_bytes, target='/a/4/0', **fields):
    """Return a request whose body has a length."""
    return encode_head(target, content_length=size_bytes, **fields) + bytes(size_bytes)


def encode_chunks(size_bytes, chunk_bytes):
    """Return a body in chunks, without its end."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, bytes(chunk_bytes))
    return chunk * (size_bytes // chunk_bytes)


class CrowdCaller:
    """One connection of a crowd.

    :param port: where to connect.
    :param tls: the context of an encrypted connection.
    """

    def __init__(self, port, tls=None):
        self._port = port
        self._tls = tls
        self.reader = None
        self.writer = None

    async def connect(self):
        # A small buffer, so that answers that are not read stay with the process.
        self.reader, self.writer = await asyncio.open_connection(
            LOOPBACK, self._port, limit=1024, ssl=self._tls
        )

    async def send(self, data):
        """Send bytes in parts, as fast as they are read."""
        for start in range(0, len(data), PART_BYTES):
            self.writer.write(data[start : start + PART_BYTES])
            await self.writer.drain()

    async def read_answer(self):
        """Read an answer; return its status."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).lower()
        fields = dict(line.split(b': ', 1) for line in head.split(b'\r\n')[1:] if line)
        if b'transfer-encoding' in fields:
            while size := int(await self.reader.readuntil(b'\r\n'), 16):
                await self.reader.readexactly(size + 2)
            await self.reader.readexactly(2)
        else:
            await self.reader.readexactly(int(fields.get(b'content-length', 0)))
        return int(head.split()[1])

    def leave(self):
        """Reset the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


async def send_and_stay(port, data, *, returns=False, tls=None):
    """Send bytes and keep the connection open, unread, until the task is cancelled.

    :param returns: whether to connect and send again whenever the connection ends.
    :param tls: the context of an encrypted connection.
    """
    while True:
        caller = CrowdCaller(port, tls)
        try:
            await caller.connect()
            with suppress(OSError):
                await caller.send(data)
            if returns:
                await caller.reader.read()
            else:
                await asyncio.Event().wait()
        except OSError:
            await asyncio.sleep(RETRY_S)
        finally:
            caller.leave()
        await asyncio.sleep(RETRY_S)


async def ask_in_turn(port, request, times, tls=None):
    """Send whole requests one after the other, and read each answer."""
    caller = CrowdCaller(port, tls)
    try:
        for _ in range(times):
            try:
                if caller.writer is None:
                    await caller.connect()
                await caller.send(request)
                async with asyncio.timeout(ANSWER_S):
                    await caller.read_answer()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                caller.leave()
                caller = CrowdCaller(port, tls)
    finally:
        caller.leave()


async def ask_ordinary(port, size_bytes=2_000, tls=None, **fields):
    """Ask as an ordinary caller, again after each refusal; return the last status."""
    status = None
    with suppress(TimeoutError):
        async with asyncio.timeout(ORDINARY_S):
            while status != 200:
                request = encode_request(size_bytes, **fields)
                status = await ask_once(port, request, tls)
                if status != 200:
                    await asyncio.sleep(RETRY_S)
    return status


async def ask_once(port, request, tls=None):
    """Return the status of an answer, or the name of what came instead."""
    caller = CrowdCaller(port, tls)
    try:
        async with asyncio.timeout(ANSWER_S):
            await caller.connect()
            await caller.send(request)
            return await caller.read_answer()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return type(error).__name__
    finally:
        caller.leave()
