"""An endpoint of one software version that generates streams and may cut them."""

from __future__ import annotations

import asyncio
import json
import random

from fleet_fixture import FakeEndpoint

EVENTS = 20
EVENT_INTERVAL_S = 0.03
PREFILL_S = 0.05
SLOTS = 16


class VersionedEngine(FakeEndpoint):
    """Writes its software version into each event.

    It does not check at what version a stream began.  ``cut_share`` is the share of the
    streams that it cuts within an event, ``full`` lets it reject everything.
    """

    def __init__(self, name, software_version):
        super().__init__(name, 'pool', is_engine=True)
        self.software_version = software_version
        self.cut_share = 0.0
        self.full = False
        # The attempts that it runs, and how many events it has generated for each.
        self.runs = {}
        self._rng = random.Random(name)
        self._beats = 0

    def entry(self, **fields):
        self._beats += 1
        stated = {'sequence': self._beats, 'slots': SLOTS}
        if self.software_version is not None:
            stated['version'] = self.software_version
        return super().entry(**(stated | fields))

    async def _respond(self, exchange):
        headers = dict(exchange.request.headers)
        if exchange.request.target == '/-/report':
            exchange.respond(200, self.statement_headers, self._report())
            return
        named = ('attempt-id', headers['attempt-id'])
        if headers.get('target-instance') != self.name:
            exchange.respond(421, (named,), b'')
            return
        if self.full or len(self.runs) >= SLOTS:
            exchange.respond(503, (named, ('not-executed', '1')), b'')
            return
        self.received.append(headers)
        attempt = headers['attempt-id']
        self.runs[attempt] = 0
        try:
            await self._generate(exchange, headers)
        finally:
            self.runs.pop(attempt, None)

    def _report(self):
        runs = [[attempt, 400, events, 0] for attempt, events in self.runs.items()]
        report = {'waiting': 0, 'running': len(runs), 'runs': runs}
        return json.dumps(report).encode()

    async def _generate(self, exchange, headers):
        proof = [('attempt-id', headers['attempt-id']), ('server-signature', self.name)]
        last_event = int(headers.get('last-event-id', 0))
        cut_at = 0
        if self._rng.random() < self.cut_share:
            cut_at = self._rng.randint(last_event + 1, EVENTS)
        await asyncio.sleep(PREFILL_S)
        exchange.start(200, [*proof, ('content-type', 'text/event-stream')])
        for number in range(last_event + 1, EVENTS + 1):
            if exchange.left:
                return
            event = f'id: {number}\ndata: {self.software_version}\n\n'.encode()
            if number == cut_at:
                exchange.send(event[:9])
                exchange.abort()
                return
            exchange.send(event)
            self.runs[headers['attempt-id']] = number
            await asyncio.sleep(EVENT_INTERVAL_S)
        exchange.finish()
