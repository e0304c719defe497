"""A stand-in for the platform's store with the calls that the gateway uses."""

from __future__ import annotations

import asyncio
import json
import struct
from base64 import b64encode
from contextlib import asynccontextmanager, suppress
from urllib.parse import parse_qs, urlsplit

from savorychute.testing.stand_in_http import LOOPBACK, serve

PAGE_HEAD = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
STATUS_UNAVAILABLE = 503
# Number of parts of a response over a slow link.
RESPONSE_PARTS = 8


class Topic:
    """One partition: its records, and the newest record of each key.

    The records of a topic that is not ``keyed`` have no keys.
    """

    def __init__(self, keyed=True):
        self.keyed = keyed
        self.records = []
        self.first = 0
        self.newest = {}
        self.written = asyncio.Event()
        # The newest epoch of each producer.
        self.epochs = {}
        # All contents since the start, with their times, to go back to an older copy.
        self.history = []

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, content):
        offset = self.end
        self.records.append(content)
        self.history.append((asyncio.get_running_loop().time(), content))
        if self.keyed:
            self._keep_newest(content, offset)
        self.written.set()
        self.written = asyncio.Event()
        return offset

    def _keep_newest(self, content, offset):
        key_end = 1 + content[0]
        key, value = content[1:key_end].decode(), content[key_end:]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)

    def trim(self, before):
        """Drop the records before an offset."""
        before = min(before, self.end)
        if before > self.first:
            del self.records[: before - self.first]
            self.first = before

    def go_back(self, until_s):
        """Restore what was written up to a time of the event loop."""
        retained = [each for each in self.history if each[0] <= until_s]
        written = self.written
        self.__init__(self.keyed)
        for _, content in retained:
            self.append(content)
        self.history = retained
        written.set()

    def forget(self):
        """Drop the history, but retain the newest records."""
        self.first = self.end
        self.records = []


class StoreStandIn:
    """Responds to the calls of the gateway; tests can make it fail.

    ``mode`` is ``up``, ``busy`` (503 to every call), ``silent`` (no response) or
    ``lossy`` (writes take effect but get no response).
    """

    def __init__(self):
        self.topics = {}
        self.mode = 'up'
        self.era = 1
        # Pause between two parts of the response to a read.
        self.part_pause_s = 0.0
        self.calls = []
        self.port = 0
        self._tasks = set()

    def topic(self, name):
        return self.topics.setdefault(name, Topic(name.startswith('keyed.')))

    def go_back(self, age_s):
        """Go back to the state of some time ago, as from an older copy."""
        self.era += 1
        until_s = asyncio.get_running_loop().time() - age_s
        for topic in self.topics.values():
            topic.go_back(until_s)

    def put(self, topic, key, value):
        """Write a record, as the operator and servers do."""
        key_bytes = key.encode()
        return self.topic(topic).append(
            bytes([len(key_bytes)]) + key_bytes + (value or b'')
        )

    def handle(self, exchange):
        """Handle one call."""
        task = asyncio.get_running_loop().create_task(self._handle_call(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_call(self, exchange):
        url = urlsplit(exchange.request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls.append((url.path, query))
        if self.mode == 'silent':
            return
        if self.mode == 'busy':
            exchange.respond(STATUS_UNAVAILABLE, self._era_headers(), b'')
            return
        topic = self.topic(query['topic'])
        if url.path == '/-/log-append':
            self._append(exchange, topic, query)
        elif url.path == '/-/log-trim':
            topic.trim(int(query['before']))
            self._respond(exchange, 200, {})
        elif url.path == '/-/log-newest':
            self._list(exchange, topic, query.get('after', ''))
        else:
            await self._read(exchange, topic, query)

    def _append(self, exchange, topic, query):
        if 'at' in query and int(query['at']) != topic.end:
            self._respond(exchange, 412, {'end': topic.end})
            return
        if 'producer' in query:
            newest = topic.epochs.get(query['producer'], -1)
            if int(query['epoch']) < newest:
                self._respond(exchange, 409, {'reason': 'fenced'})
                return
            topic.epochs[query['producer']] = int(query['epoch'])
        body = exchange.request.body
        offset = topic.append(body[LENGTH.size :])
        if self.mode == 'lossy':
            exchange.abort()
            return
        self._respond(exchange, 200, {'offset': offset, 'end': topic.end})

    def _list(self, exchange, topic, after):
        keys = sorted(key for key in topic.newest if key > after)
        page = keys[:2]
        items = [
            {
                'key': key,
                'value': b64encode(topic.newest[key][1]).decode(),
                'offset': topic.newest[key][0],
            }
            for key in page
        ]
        has_more = len(keys) > len(page)
        document = {'items': items, 'hasMore': has_more, 'end': topic.end}
        self._respond(exchange, 200, document)

    def _respond(self, exchange, status, document):
        headers = [('content-type', 'application/json'), *self._era_headers()]
        exchange.respond(status, headers, json.dumps(document).encode())

    def _era_headers(self):
        return [('store-era', str(self.era))]

    async def _read(self, exchange, topic, query):
        offset = int(query['from'])
        if not topic.first <= offset <= topic.end:
            self._respond(exchange, 410, {'first': topic.first})
            return
        wait_s = int(query.get('waitMs', 0)) / 1_000
        if offset >= topic.end and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.written.wait(), wait_s)
        if offset > topic.end:
            self._respond(exchange, 410, {'first': topic.first})
            return
        records = topic.records[offset - topic.first :]
        body = PAGE_HEAD.pack(topic.end, topic.first)
        for record in records:
            body += LENGTH.pack(len(record)) + record
        await self._send(exchange, body)

    async def _send(self, exchange, body):
        if not self.part_pause_s:
            exchange.respond(200, self._era_headers(), body)
            return
        exchange.start(200, self._era_headers())
        size = -(-len(body) // RESPONSE_PARTS)
        for start in range(0, len(body), size):
            await asyncio.sleep(self.part_pause_s)
            exchange.send(body[start : start + size])
        exchange.finish()


@asynccontextmanager
async def run_store():
    """Run a store until the block ends."""
    store = StoreStandIn()
    async with serve(store.handle, LOOPBACK, 0) as server:
        store.port = server.port
        yield store
