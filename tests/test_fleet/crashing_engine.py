"""An engine that ends when it begins to write an answer on a bad part of a prompt."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from contextlib import suppress
from enum import Enum, auto
from typing import NamedTuple

import h11

from savorychute.testing.stand_in_http import LOOPBACK

READ_BYTES = 65_536
SLOTS = 16
MAX_WAITING = 16
EVENTS = 20
EVENT_INTERVAL_S = 0.03
PREFILL_S = (0.05, 0.2)
# From the first token of an answer until the engine ends, and until it is back.
CRASH_DELAY_S = (0.01, 0.1)
DOWN_S = (1.8, 3.3)
# The platform removes the entry of an engine that has sent no heartbeats for this long.
ENTRY_LIFETIME_S = 3.0
RESET = struct.pack('ii', 1, 0)


class End(Enum):
    """How connections end when an engine crashes; ``EDGE`` cuts between two events."""

    RESET = auto()
    IN_EVENT = auto()
    EDGE = auto()


class Arrival(NamedTuple):
    """A request that reached an engine, with the parts that it shares with others."""

    time_s: float
    attempt: str
    parts: tuple[str, ...]


class Crash(NamedTuple):
    """An end of an engine; ``part`` is empty if no request was to blame."""

    time_s: float
    part: str


def read_parts(headers):
    """Return the parts of a prompt, without the last one, which is the request's own."""
    items = headers.get('prefix-hash', '').split(',')
    return tuple(item.rpartition(':')[0].lower() for item in items[:-1])


class CrashingEngine:
    """Generates streams in slots; ends with all of them on a bad part.

    Each start has a new name at the same address.  An engine that is gone refuses
    connections; its entry expires later.

    :param name: begins the name of each run.
    :param journal: collects the arrivals and crashes of all engines.
    :param end: how connections end when it crashes.
    :param framed: whether streams are sent in chunks, or end with their connections.
    """

    service = 'pool'
    is_engine = True

    def __init__(self, name, journal, end=End.RESET, framed=True, slots=SLOTS):
        self.name = self.run = name
        self.port = 0
        self.put = None
        self._journal = journal
        self._end = end
        self._framed = framed
        self._slots = slots
        self._rng = random.Random(name)
        self._starts = 0
        self._sequence = 0
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self.running = 0

    @property
    def is_up(self):
        return self._server is not None

    def entry(self, **fields):
        self._sequence += 1
        document = {
            'service': self.service,
            'address': f'{LOOPBACK}:{self.port}',
            'zone': 'kochi',
            'slots': self._slots,
            'state': 'ready',
            'sequence': self._sequence,
            'version': 'v1',
        }
        return json.dumps(document | fields).encode()

    async def start(self):
        """Listen under a new name, at the address of the run before."""
        self._starts += 1
        self._sequence = 0
        self.run = self.name if self._starts == 1 else f'{self.name}-{self._starts}'
        self._free = asyncio.Semaphore(self._slots)
        self._waiting = self.running = 0
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """End the server and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def crash(self, part=''):
        """End now, and start again after some seconds."""
        if self._server is None:
            return
        self._journal.crashes.append(Crash(asyncio.get_running_loop().time(), part))
        self._server.close()
        self._server = None
        current = asyncio.current_task()
        for task in tuple(self._tasks):
            if task is not current:
                task.cancel()
        for writer in tuple(self._writers):
            self._end_connection(writer)
        ended = self.run
        loop = asyncio.get_running_loop()
        loop.call_later(ENTRY_LIFETIME_S, lambda: self.put(ended, None))
        task = loop.create_task(self._return())
        self._journal.tasks.add(task)
        task.add_done_callback(self._journal.tasks.discard)

    def _end_connection(self, writer):
        self._writers.discard(writer)
        raw_socket = writer.get_extra_info('socket')
        if self._end is End.RESET:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            return
        if self._end is End.IN_EVENT and getattr(writer, 'is_streaming', False):
            writer.write(self._encode(b'id: 9'))
        writer.close()

    async def _return(self):
        await asyncio.sleep(self._rng.uniform(*DOWN_S))
        await self.start()
        self.put(self.run, self.entry())

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            with suppress(OSError, h11.ProtocolError, asyncio.CancelledError):
                await self._serve_requests(reader, writer)
        finally:
            self._tasks.discard(task)
            if writer in self._writers:
                self._writers.discard(writer)
                writer.transport.abort()

    async def _serve_requests(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        while True:
            head = None
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    data = await reader.read(READ_BYTES)
                    http.receive_data(data)
                    if not data:
                        return
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.ConnectionClosed):
                    return
            headers = {key.decode(): value.decode() for key, value in head.headers}
            keeps = await self._respond(head.target.decode(), headers, reader, writer)
            if not keeps:
                return
            # The responses are written without h11, which sends no unframed ones.
            http = h11.Connection(h11.SERVER)

    async def _respond(self, target, headers, reader, writer):
        """Respond to one request; return whether the connection is kept."""
        if target == '/-/report':
            self._write_whole(writer, 200, self._report())
            return True
        named = f'attempt-id: {headers["attempt-id"]}\r\n'
        if headers.get('target-instance') != self.run:
            self._write_whole(writer, 421, b'', named)
            return True
        if self._waiting >= MAX_WAITING:
            self._write_whole(writer, 503, b'', named + 'not-executed: 1\r\n')
            return True
        parts = read_parts(headers)
        loop = asyncio.get_running_loop()
        arrival = Arrival(loop.time(), headers['attempt-id'], parts)
        self._journal.arrivals.append(arrival)
        generating = loop.create_task(self._generate(headers, parts, writer))
        left = loop.create_task(reader.read(READ_BYTES))
        try:
            await asyncio.wait({generating, left}, return_when=asyncio.FIRST_COMPLETED)
            return generating.done() and self._framed
        finally:
            generating.cancel()
            left.cancel()
            with suppress(asyncio.CancelledError):
                await left

    async def _generate(self, headers, parts, writer):
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self._rng.uniform(*PREFILL_S))
            await self._write_answer(headers, parts, writer)
        finally:
            self.running -= 1
            self._free.release()

    async def _write_answer(self, headers, parts, writer):
        bad = next((part for part in parts if part in self._journal.bad_parts), '')
        framing = 'transfer-encoding: chunked\r\n' if self._framed else ''
        writer.write(
            (
                f'HTTP/1.1 200 OK\r\nattempt-id: {headers["attempt-id"]}\r\n'
                f'server-signature: {self.run}\r\n'
                f'content-type: text/event-stream\r\n{framing}\r\n'
            ).encode()
        )
        writer.is_streaming = True
        if bad:
            await asyncio.sleep(self._rng.uniform(*CRASH_DELAY_S))
            self.crash(bad)
            return
        for number in range(int(headers.get('last-event-id', 0)) + 1, EVENTS + 1):
            writer.write(self._encode(f'id: {number}\ndata: x\n\n'.encode()))
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.is_streaming = False
        if self._framed:
            writer.write(b'0\r\n\r\n')
        else:
            self._writers.discard(writer)
            writer.close()

    def _encode(self, data):
        return b'%x\r\n%s\r\n' % (len(data), data) if self._framed else data

    def _report(self):
        report = {'waiting': self._waiting, 'running': self.running, 'runs': []}
        return json.dumps(report).encode()

    def _write_whole(self, writer, status, body, extra=''):
        head = f'HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{extra}\r\n'
        writer.write(head.encode() + body)


class Journal:
    """What all engines have seen, and the parts on which they crash."""

    def __init__(self, bad_parts=()):
        self.bad_parts = set(bad_parts)
        self.arrivals = []
        self.crashes = []
        self.tasks = set()
