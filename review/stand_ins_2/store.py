"""A stand-in for the platform's store: an append-only log with keyed topics."""

from __future__ import annotations

import asyncio
import json
import struct
import time
from base64 import b64encode
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs, urlsplit

from http_server import HttpServer

if TYPE_CHECKING:
    from http_server import Exchange

PAGE_HEAD = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
MAX_READ_BYTES = 1024 * 1024
JSON_HEADERS = {'content-type': 'application/json'}


class Fence(NamedTuple):
    """Who wrote a record, and with which epoch."""

    producer: str
    epoch: int


class Topic:
    """The only partition of a topic, and the newest value of each key."""

    def __init__(self, keyed: bool) -> None:
        self.keyed = keyed
        self.records: list[bytes] = []
        self.fences: list[Fence | None] = []
        self.written_s: list[float] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epochs: dict[str, int] = {}
        self.written = asyncio.Event()

    def append(self, content: bytes, fence: Fence | None = None) -> int:
        """Append a record; return its offset."""
        offset = len(self.records)
        self._add(content, fence, time.monotonic())
        self.written.set()
        self.written = asyncio.Event()
        return offset

    def copy_until(self, end_s: float) -> Topic:
        """Return a copy without the records that were written later."""
        topic = Topic(self.keyed)
        writes = zip(self.records, self.fences, self.written_s, strict=True)
        for content, fence, written_s in writes:
            if written_s <= end_s:
                topic._add(content, fence, written_s)
        return topic

    def _add(self, content: bytes, fence: Fence | None, written_s: float) -> None:
        offset = len(self.records)
        self.records.append(content)
        self.fences.append(fence)
        self.written_s.append(written_s)
        if fence is not None:
            self.epochs[fence.producer] = fence.epoch
        if self.keyed:
            key_end = 1 + content[0]
            key, value = content[1:key_end].decode(), content[key_end:]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)


class Store:
    """The store, which never fails by itself."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.era = 0
        self._server = HttpServer(self._handle)

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._server.port

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()

    def stop(self) -> None:
        """Accept no further calls."""
        self._server.stop()

    async def come_back_older(self, age_s: float, away_s: float) -> None:
        """Be away for a moment, and come back from a copy of some age."""
        port = self.port
        end_s = time.monotonic() - age_s
        self._server.stop()
        await asyncio.sleep(away_s)
        self.topics = {
            name: topic.copy_until(end_s) for name, topic in self.topics.items()
        }
        self.era += 1
        await self._server.start(port)

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a record, as operators and servers do; None removes the key."""
        value = b'' if document is None else json.dumps(document).encode()
        self._topic(topic).append(bytes([len(key)]) + key.encode() + value)

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic(name.startswith('keyed.')))

    async def _handle(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self._topic(query.get('topic', ''))
        if url.path == '/-/log-append':
            await self._append(exchange, topic, query)
        elif url.path == '/-/log-newest':
            await self._list(exchange, topic, query.get('after', ''))
        elif url.path == '/-/log-read':
            await self._read(exchange, topic, query)
        else:
            await self._answer(exchange, 200, {})

    async def _append(
        self, exchange: Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            await self._answer(exchange, 412, {'end': end})
            return
        fence = None
        if 'producer' in query:
            fence = Fence(query['producer'], int(query['epoch']))
            if fence.epoch < topic.epochs.get(fence.producer, -1):
                await self._answer(exchange, 409, {'reason': 'fenced'})
                return
        for content in _split(exchange.request.body):
            topic.append(content, fence)
        await self._answer(exchange, 200, {'offset': end, 'end': len(topic.records)})

    async def _list(self, exchange: Exchange, topic: Topic, after: str) -> None:
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': b64encode(topic.newest[key][1]).decode(),
                'offset': topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        document = {
            'items': items,
            'hasMore': len(keys) > 500,
            'end': len(topic.records),
        }
        await self._answer(exchange, 200, document)

    async def _read(
        self, exchange: Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        offset = int(query['from'])
        if offset > len(topic.records):
            await self._answer(exchange, 410, {'first': 0})
            return
        wait_s = int(query.get('waitMs', '0')) / 1_000
        if offset == len(topic.records) and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.written.wait(), wait_s)
        body = PAGE_HEAD.pack(len(topic.records), 0)
        for record in topic.records[offset:]:
            if len(body) > MAX_READ_BYTES:
                break
            body += LENGTH.pack(len(record)) + record
        await exchange.respond(200, {'store-era': str(self.era)}, body)

    async def _answer(self, exchange: Exchange, status: int, document: object) -> None:
        headers = JSON_HEADERS | {'store-era': str(self.era)}
        await exchange.respond(status, headers, json.dumps(document).encode())


def _split(body: bytes) -> list[bytes]:
    contents, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents
