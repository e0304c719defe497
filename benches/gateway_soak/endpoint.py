"""A simulated endpoint of the soak."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from benches.gateway_soak.answers import LateResponses, encode, send_without_end
from benches.gateway_soak.ledger import DRAIN_SLACK_S, make_event
from benches.gateway_soak.prompts import BAD_PART
from benches.gateway_soak.proxy import LOOPBACK, Proxy, reset

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from benches.gateway_soak.ledger import Ledger
    from benches.gateway_soak.shapes import Shape
    from savorychute.http.server_exchange import ServerExchange

PROMPT = 'prefix-hash'
SIGNATURE_HEADER = 'server-signature'
SERVICE_TIME_S = 0.03
# Service time, slots and queue of an endpoint that is full at times.
SMALL_SERVICE_TIME_S = (0.02, 0.07)
SMALL_SLOTS = 6
SMALL_QUEUE = 2
SLOTS = 16
EVENT_INTERVAL_S = 0.02
DRAIN_LIMIT_S = 2.0
HEARTBEAT_INTERVAL_S = 0.4


class SoakEndpoint:
    """Executes requests and records each execution.

    :param name: identifies this run of the endpoint.
    :param service: ``desk`` or ``pool``.
    :param version: version of its software.
    :param ledger: records the executions.
    :param rng: random numbers for its faults.
    """

    def __init__(
        self, name: str, service: str, version: str, ledger: Ledger, rng: random.Random
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.proxy: Proxy | None = None
        self.abort_share = 0.0
        self.is_full = False
        self.crashed = False
        self.drain_started_s: float | None = None
        # Called with a request with a bad part, on which this endpoint crashes.
        self.on_bad_request: Callable[[SoakEndpoint, str], None] | None = None
        # Shares of its responses that come twice, have no end, or are true refusals.
        self.repeated_share = 0.0
        self.endless_share = 0.0
        self.refused_share = 0.0
        self._late = LateResponses()
        # Shape of the faulty ones among its responses, and their share.
        self.shape: Shape | None = None
        self.shape_share = 0.0
        # Whether it runs and queues a few requests only, and refuses others.
        self.is_small = False
        self._taken = 0
        self._free_slots = asyncio.Semaphore(SMALL_SLOTS)
        # Whether its streams have chunks, or end with their connections.
        self.has_chunks = True
        # Headers that it adds to every response.
        self.stated_headers: tuple[tuple[str, str], ...] = ()
        # Times of received calls and of started requests.
        self.call_times_s: list[float] = []
        self.execution_times_s: list[float] = []
        self._ledger = ledger
        self._rng = rng
        self._sequence = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def encode_entry(self) -> bytes:
        """Return the next version of its entry in the store."""
        assert self.proxy is not None
        self._sequence += 1
        document: dict[str, Any] = {
            'service': self.service,
            'address': f'{LOOPBACK}:{self.proxy.port}',
            'zone': 'soak',
            'slots': SMALL_SLOTS if self.is_small else SLOTS,
            'state': 'ready' if self.drain_started_s is None else 'draining',
            'sequence': self._sequence,
            'version': self.version,
        }
        return json.dumps(document).encode()

    def handle(self, exchange: ServerExchange) -> None:
        """Handle one request."""
        task = asyncio.get_running_loop().create_task(self._respond(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, exchange: ServerExchange) -> None:
        headers = dict(exchange.request.headers)
        if self.crashed:
            exchange.abort()
            return
        self.call_times_s.append(asyncio.get_running_loop().time())
        if exchange.request.target == '/-/report':
            exchange.respond(
                200, self.stated_headers, b'{"waiting":0,"running":0,"runs":[]}'
            )
            return
        attempt = headers.get('attempt-id', '')
        self._ledger.traffic['calls'] += 1
        if headers.get('target-instance') != self.name:
            exchange.respond(421, (('attempt-id', attempt),), b'')
            return
        if self._late.send_due(exchange):
            self._ledger.traffic['extras'] += 1
        is_full = self.is_full or self._taken >= SMALL_SLOTS + SMALL_QUEUE
        if self._draws(self.refused_share) or is_full:
            self._refuse(exchange, attempt)
            return
        if not self.is_small:
            await self._run(exchange, attempt, headers)
            return
        self._taken += 1
        try:
            async with self._free_slots:
                if not exchange.left:
                    await self._run(exchange, attempt, headers)
        finally:
            self._taken -= 1

    async def _run(
        self, exchange: ServerExchange, attempt: str, headers: dict[str, str]
    ) -> None:
        self._record_execution(attempt, headers)
        if self.on_bad_request is not None and f',{BAD_PART}:' in headers.get(
            PROMPT, ''
        ):
            self.on_bad_request(self, attempt)
            return
        shape = self.shape
        if shape is not None and not shape.is_extra and self._draws(self.shape_share):
            await self._fail(exchange, attempt, shape)
            return
        await self._execute(exchange, attempt, headers)

    async def _fail(self, exchange: ServerExchange, attempt: str, shape: Shape) -> None:
        """Send a failure after the request ran."""
        await asyncio.sleep(self._draw_service_time_s())
        proof = self._ledger.make_proof(self.name, attempt, shape.status)
        self._ledger.traffic['failures'] += 1
        exchange.respond(shape.status, shape.make_headers(attempt, proof), b'failed')

    def _keep_extra(
        self,
        exchange: ServerExchange | UndelimitedExchange,
        attempt: str,
        proof: str,
        body: bytes,
    ) -> None:
        """Send a response of the current shape with the next one, at times."""
        shape = self.shape
        if shape is None or not shape.is_extra or (shape.is_success and not proof):
            return
        if isinstance(exchange, UndelimitedExchange):
            return  # No other response follows on its connection.
        if self._draws(self.shape_share):
            self._late.keep(exchange, shape.encode(attempt, proof, body))

    def _draw_service_time_s(self) -> float:
        if self.is_small:
            return self._rng.uniform(*SMALL_SERVICE_TIME_S)
        return SERVICE_TIME_S

    def _draws(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _refuse(self, exchange: ServerExchange, attempt: str) -> None:
        headers = (('attempt-id', attempt), ('not-executed', '1'), *self.stated_headers)
        if self._draws(self.repeated_share):
            self._late.keep(exchange, encode(503, headers))
        self._keep_extra(exchange, attempt, '', b'')
        exchange.respond(503, headers, b'')

    def _record_execution(self, attempt: str, headers: dict[str, str]) -> None:
        self.execution_times_s.append(asyncio.get_running_loop().time())
        self._ledger.record_execution(attempt, self.name, 'authorization' in headers)
        reachable_since_s = self._ledger.store_reachable_since_s()
        if self.drain_started_s is None or reachable_since_s is None:
            return
        late_s = asyncio.get_running_loop().time() - max(
            self.drain_started_s, reachable_since_s
        )
        if late_s > DRAIN_LIMIT_S + DRAIN_SLACK_S:
            self._ledger.record_late_execution(attempt, self.name, late_s)

    async def _execute(
        self, exchange: ServerExchange, attempt: str, headers: dict[str, str]
    ) -> None:
        proof = self._ledger.make_proof(self.name, attempt, 200)
        response_headers = (
            ('attempt-id', attempt),
            (SIGNATURE_HEADER, proof),
            *self.stated_headers,
        )
        aborts = self._rng.random() < self.abort_share
        if self._draws(self.endless_share):
            UndelimitedExchange(exchange).start(200, response_headers)
            await send_without_end(exchange)
            return
        if self.service == 'desk':
            await asyncio.sleep(self._draw_service_time_s())
            if aborts:
                exchange.abort()
            else:
                body = b'ran ' + exchange.request.body
                self._keep_extra(exchange, attempt, proof, body)
                self._respond_whole(exchange, response_headers, body)
            return
        version = self.version
        last_event = int(headers.get('last-event-id', 0))
        events = int(headers['token-count'].partition(',')[2])
        abort_at = self._rng.randint(last_event, events) if aborts else None
        response_headers = (*response_headers, ('content-type', 'text/event-stream'))
        if not self.has_chunks:
            exchange = UndelimitedExchange(exchange)
        exchange.start(200, response_headers)
        for number in range(last_event + 1, events + 1):
            if number == abort_at or self.crashed:
                # Cut within an event, as when a process dies while it writes.
                exchange.send(make_event(attempt, number, version)[:9])
                exchange.abort()
                return
            exchange.send(make_event(attempt, number, version))
            await asyncio.sleep(EVENT_INTERVAL_S)
        if self.has_chunks:
            self._keep_extra(exchange, attempt, proof, make_event(attempt, 1, version))
        exchange.finish()

    def _respond_whole(
        self,
        exchange: ServerExchange,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        if self._draws(self.repeated_share):
            self._late.keep(exchange, encode(200, headers, body))
        if self.has_chunks:
            exchange.respond(200, headers, body)
            return
        bare = UndelimitedExchange(exchange)
        bare.start(200, headers)
        bare.send(body)
        bare.finish()


class UndelimitedExchange:
    """Sends a response without a length or chunks, which ends with its connection.

    :param exchange: the request.
    """

    def __init__(self, exchange: ServerExchange) -> None:
        self._transport = exchange._connection._transport

    def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head."""
        lines = [
            f'HTTP/1.1 {status} X',
            *(f'{name}: {value}' for name, value in headers),
        ]
        self.send('\r\n'.join([*lines, '', '']).encode())

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def finish(self) -> None:
        """Close the connection in order."""
        self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        reset(self._transport)
