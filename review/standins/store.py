"""A stand-in for the platform's store: a log with partitions and keyed topics."""

from __future__ import annotations

import asyncio
import json
import struct
from base64 import b64encode
from contextlib import suppress
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from standins.wire import LOOPBACK, Message, encode_response, read_message

PAGE_HEAD = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
# How long the store takes to answer.
ANSWER_S = 0.004
MAX_ITEMS = 500


class Topic:
    """Partition 0 of a topic."""

    def __init__(self, *, keyed: bool) -> None:
        self.keyed = keyed
        self.records: list[bytes] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epochs: dict[str, int] = {}
        self.written = asyncio.Event()

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> int:
        """Append a record; return its offset."""
        offset = self.end
        self.records.append(content)
        if self.keyed:
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            if content[key_end:]:
                self.newest[key] = (offset, content[key_end:])
            else:
                self.newest.pop(key, None)
        self.written.set()
        self.written = asyncio.Event()
        return offset

    def trim(self, before: int) -> None:
        """Delete the records before an offset."""
        count = max(0, min(before, self.end) - self.first)
        del self.records[:count]
        self.first += count


class Answer(NamedTuple):
    """A status and a body."""

    status: int
    body: bytes


class Store:
    """Serves the calls of the store over HTTP."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        if name not in self.topics:
            self.topics[name] = Topic(keyed=name.startswith('keyed.'))
        return self.topics[name]

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a record, as the operator and the servers do."""
        data = b'' if value is None else json.dumps(value).encode()
        self.topic(topic).append(bytes([len(key)]) + key.encode() + data)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while (call := await read_message(reader, is_request=True)) is not None:
                await asyncio.sleep(ANSWER_S)
                answer = await self._answer(call)
                writer.write(encode_response(answer.status, {}, answer.body))
                await writer.drain()
        writer.close()

    async def _answer(self, call: Message) -> Answer:
        url = urlsplit(call.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query['topic'])
        if url.path == '/-/log-append':
            return self._append(topic, query, call.body)
        if url.path == '/-/log-newest':
            return self._list(topic, query.get('after', ''))
        if url.path == '/-/log-trim':
            topic.trim(int(query['before']))
            return _encode(200, {})
        return await self._read(topic, query)

    def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> Answer:
        if 'at' in query and int(query['at']) != topic.end:
            return _encode(412, {'end': topic.end})
        if 'producer' in query:
            epoch, producer = int(query['epoch']), query['producer']
            if epoch < topic.epochs.get(producer, -1):
                return _encode(409, {'reason': 'fenced'})
            topic.epochs[producer] = epoch
        offset, position = topic.end, 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            topic.append(body[position : position + length])
            position += length
        return _encode(200, {'offset': offset, 'end': topic.end})

    def _list(self, topic: Topic, after: str) -> Answer:
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': b64encode(topic.newest[key][1]).decode(),
                'offset': topic.newest[key][0],
            }
            for key in keys[:MAX_ITEMS]
        ]
        has_more = len(keys) > MAX_ITEMS
        return _encode(200, {'items': items, 'hasMore': has_more, 'end': topic.end})

    async def _read(self, topic: Topic, query: dict[str, str]) -> Answer:
        offset = int(query['from'])
        if not topic.first <= offset <= topic.end:
            return _encode(410, {'first': topic.first})
        wait_s = int(query.get('waitMs', 0)) / 1_000
        if offset == topic.end and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.written.wait(), wait_s)
        body = PAGE_HEAD.pack(topic.end, topic.first)
        for record in topic.records[offset - topic.first :]:
            body += LENGTH.pack(len(record)) + record
        return Answer(200, body)


def _encode(status: int, document: object) -> Answer:
    return Answer(status, json.dumps(document).encode())
