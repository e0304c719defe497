"""An endpoint of the soak."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from benches.gateway_soak.ledger import DRAIN_SLACK_S, make_event
from benches.gateway_soak.proxy import LOOPBACK, Proxy

if TYPE_CHECKING:
    import random

    from benches.gateway_soak.ledger import Ledger
    from savorychute.http.server_exchange import ServerExchange

PROOF = 'server-signature'
WORK_S = 0.03
EVENT_S = 0.02
DRAIN_S = 2.0
HEARTBEAT_S = 0.4


class SoakEndpoint:
    """Runs requests and writes down which.

    :param name: of this run.
    :param service: ``desk`` or ``pool``.
    :param ledger: where runs are noted.
    :param rng: the source of its faults.
    """

    def __init__(
        self, name: str, service: str, ledger: Ledger, rng: random.Random
    ) -> None:
        self.name = name
        self.service = service
        self.proxy: Proxy | None = None
        self.grey = 0.0
        self.full = False
        self.crashed = False
        self.drained_s: float | None = None
        # What each answer says beside the answer itself.
        self.stated: tuple[tuple[str, str], ...] = ()
        # When it was called, and when it began to run a request.
        self.calls_s: list[float] = []
        self.runs_s: list[float] = []
        self._ledger = ledger
        self._rng = rng
        self._sequence = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def entry(self) -> bytes:
        """Return what it writes into the store."""
        assert self.proxy is not None
        self._sequence += 1
        document: dict[str, Any] = {
            'service': self.service,
            'address': f'{LOOPBACK}:{self.proxy.port}',
            'zone': 'soak',
            'slots': 16,
            'state': 'ready' if self.drained_s is None else 'draining',
            'sequence': self._sequence,
        }
        return json.dumps(document).encode()

    def handle(self, exchange: ServerExchange) -> None:
        """Take one request."""
        task = asyncio.get_running_loop().create_task(self._answer(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, exchange: ServerExchange) -> None:
        headers = dict(exchange.request.headers)
        if self.crashed:
            exchange.abort()
            return
        self.calls_s.append(asyncio.get_running_loop().time())
        if exchange.request.target == '/-/report':
            exchange.respond(200, self.stated, b'{"waiting":0,"running":0,"runs":[]}')
            return
        if headers.get('target-instance') != self.name:
            exchange.respond(421, (), b'')
            return
        if self.full:
            exchange.respond(503, (('not-executed', '1'), *self.stated), b'')
            return
        attempt = headers['attempt-id']
        self._note_run(attempt, headers)
        await self._run(exchange, attempt, headers)

    def _note_run(self, attempt: str, headers: dict[str, str]) -> None:
        self.runs_s.append(asyncio.get_running_loop().time())
        self._ledger.ran(attempt, self.name, 'authorization' in headers)
        calm_s = self._ledger.in_touch_since_s()
        if self.drained_s is None or calm_s is None:
            return
        late_s = asyncio.get_running_loop().time() - max(self.drained_s, calm_s)
        if late_s > DRAIN_S + DRAIN_SLACK_S:
            self._ledger.ran_late(attempt, self.name, late_s)

    async def _run(
        self, exchange: ServerExchange, attempt: str, headers: dict[str, str]
    ) -> None:
        proof = (('attempt-id', attempt), (PROOF, self.name), *self.stated)
        breaks = self._rng.random() < self.grey
        if self.service == 'desk':
            await asyncio.sleep(WORK_S)
            if breaks:
                exchange.abort()
            else:
                exchange.respond(200, proof, b'ran ' + exchange.request.body)
            return
        last = int(headers.get('last-event-id', 0))
        events = int(headers['token-count'].partition(',')[2])
        stop = self._rng.randint(last, events) if breaks else None
        exchange.start(200, (*proof, ('content-type', 'text/event-stream')))
        for number in range(last + 1, events + 1):
            if number == stop or self.crashed:
                # Within an event, as a process that dies stops writing.
                exchange.send(make_event(attempt, number)[:9])
                exchange.abort()
                return
            exchange.send(make_event(attempt, number))
            await asyncio.sleep(EVENT_S)
        exchange.finish()
