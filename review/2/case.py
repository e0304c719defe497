"""A stream whose relay is killed ends as complete before its last event."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
from contextlib import suppress
from pathlib import Path

from standins.config import HOST, KEY, make_config, make_entry
from standins.gateways import ZONES, Gateway, start_all
from standins.record import CannotRunError, Record, has_trouble, run_case
from standins.store import Store
from standins.wire import (
    LOOPBACK,
    Message,
    encode_request,
    encode_response,
    read_message,
)

GATEWAYS = 4
SERVERS = 3
SLOTS = 64
BACKLOG = 128
STRIDE = 3
EVENTS = 40
EVENT_S = 0.05
HEARTBEAT_S = 1.2
DEADLINE_MS = 6_000
# Seconds between two streams of the same consumer, and their number.
CONSUMERS = 48
PAUSE_S = (0.0, 0.6)
WARM_UP_S = 5.0
# The disruptions: lossy (3 in 100 for 5.5 s), and node_kill (one machine, back after 3.5 s).
LOSS_X = 0.03
LOSS_WINDOW_S = 1.0
LOSSY_S = 5.5
KILL_AFTER_S = 3.0
KILL_PATIENCE_S = 2.4
DOWN_S = 3.5
ROUNDS = 4
CALM_S = 6.0


class ModelServer:
    """A model server that sends its streams without a length.

    Each stream ends with its connection.  Its listening socket can lose the packets that
    open connections, as a link does that loses packets.
    """

    def __init__(self, number: int, record: Record, store: Store) -> None:
        self.name = f'i-{number + 1}'
        self.zone = ZONES[number % len(ZONES)]
        self.opened = 0
        self._record = record
        self._store = store
        self._running = 0
        self._sequence = 0
        self._fillers: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((LOOPBACK, 0))
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]

    def start(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._accept_waiting)

    def close(self) -> None:
        """Close the listening socket and end all work."""
        asyncio.get_running_loop().remove_reader(self._socket)
        for task in tuple(self._tasks):
            task.cancel()
        self._socket.close()

    def report(self) -> None:
        """Write the entry, which is its heartbeat."""
        self._sequence += 1
        address = f'{LOOPBACK}:{self.port}'
        entry = make_entry('savory-pool', address, self.zone, SLOTS, self._sequence)
        self._store.put('keyed.servers', self.name, entry)

    async def lose_openings(self, duration_s: float) -> None:
        """Lose the packets that open connections for a while.

        The kernel drops them while the queue of new connections is full.
        """
        asyncio.get_running_loop().remove_reader(self._socket)
        self._accept_waiting()
        self._socket.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        with suppress(BlockingIOError):
            filler.connect((LOOPBACK, self.port))
        self._fillers.add(filler.getsockname()[1])
        await asyncio.sleep(duration_s)
        self._socket.listen(BACKLOG)
        filler.close()
        self.start()

    def _accept_waiting(self) -> None:
        """Accept all connections in the queue."""
        while True:
            try:
                accepted, address = self._socket.accept()
            except BlockingIOError:
                return
            if address[1] in self._fillers:
                self._fillers.discard(address[1])
                accepted.close()
                continue
            accepted.setblocking(False)
            self.opened += 1
            task = asyncio.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        with suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader, is_request=True)) is not None:
                if request.start[1] == '/-/report':
                    writer.write(self._make_report())
                elif request.headers.get('target-instance') != self.name:
                    writer.write(encode_response(421, {}))
                else:
                    await self._stream(request, reader, writer)
                    break
                await writer.drain()
        writer.close()

    def _make_report(self) -> bytes:
        report = {
            'stage': 'colocated',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'waiting': 0,
            'running': self._running,
            'kvUsed': 1_600 * self._running,
            'kvTotal': 582_373,
            'handles': 0,
            'runs': [],
        }
        headers = {'Content-Type': 'application/json', 'Keep-Alive': 'timeout=5'}
        return encode_response(200, headers, json.dumps(report).encode())

    async def _stream(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Generate a stream; stop if the connection is closed."""
        attempt = request.headers['attempt-id']
        events = int(request.headers['token-count'].partition(',')[2]) // STRIDE
        headers = {
            'Attempt-Id': attempt,
            'Server-Signature': f'proof.{self.name}',
            'Content-Type': 'text/event-stream',
            'Weight-Versions': '1',
            'Connection': 'close',
        }
        self._record.add_run(attempt, self.name)
        self._running += 1
        sent = 0
        try:
            writer.write(encode_response(200, headers, body=None))
            while sent < events and not reader.at_eof():
                await asyncio.sleep(EVENT_S)
                sent += 1
                writer.write(f'id: {sent}\ndata: {attempt}/{sent}\n\n'.encode())
                await writer.drain()
        finally:
            self._running -= 1
            end = 'whole' if sent == events else 'its connection was closed'
            self._record.add(f'generated {attempt} {sent} of {events}: {end}')


class Consumer:
    """Sends one stream after the other, each on a new connection."""

    def __init__(
        self, number: int, gateways: list[Gateway], record: Record, rng: random.Random
    ) -> None:
        self._number = number
        self._gateways = gateways
        self._record = record
        self._rng = rng
        self._sent = 0

    async def run(self) -> None:
        """Send until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            gateway = self._rng.choice(self._gateways)
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, gateway.caller_port
                )
                try:
                    await self._call(gateway, reader, writer)
                finally:
                    writer.close()

    async def _call(
        self,
        gateway: Gateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._sent += 1
        attempt = f'{self._number:03x}{self._sent:05x}'
        headers = {
            'Host': HOST,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(DEADLINE_MS),
            'Authorization': f'Bearer {KEY}',
            'Model': 'm',
            'Token-Count': f'1460,{STRIDE * EVENTS}',
            'Prefix-Hash': f'{self._number:08x}:800,{attempt}:660',
        }
        self._record.add_sent(attempt, f'to {gateway.name}')
        writer.write(encode_request('POST', '/chat/1', headers))
        answer = await read_message(reader, is_request=False)
        if answer is None:
            self._record.add(f'answer {attempt} none')
            return
        status, events = answer.start[1], answer.body.count(b'\n\n')
        end = 'complete' if answer.whole else 'cut'
        self._record.add(f'answer {attempt} {status} {events} events, {end}')
        if status == '200' and answer.whole and events < EVENTS:
            self._record.add_violation(
                f'ORDER: {attempt} ended as complete after {events} of {EVENTS} events'
            )


async def report_forever(servers: list[ModelServer]) -> None:
    """Write the entries of all servers again and again."""
    while True:
        for server in servers:
            server.report()
        await asyncio.sleep(HEARTBEAT_S)


async def lose_packets(servers: list[ModelServer]) -> None:
    """Lose the given share of the packets that open connections to the servers."""
    for _ in range(int(LOSSY_S / LOSS_WINDOW_S)):
        lost_s = LOSS_X * LOSS_WINDOW_S
        await asyncio.gather(*(each.lose_openings(lost_s) for each in servers))
        await asyncio.sleep(LOSS_WINDOW_S - lost_s)


async def kill_relay(gateways: list[Gateway], record: Record) -> None:
    """Kill the machine that carries the most streams of others; start it again later."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + KILL_PATIENCE_S
    while True:
        counts = await asyncio.gather(
            *(each.read_metric('savorychute_tunnels_open') for each in gateways)
        )
        if max(counts) > 0 or loop.time() >= until_s:
            break
        await asyncio.sleep(0.1)
    relay = gateways[counts.index(max(counts))]
    record.add(f'kill {relay.name}, tunnels of all: {counts}')
    await relay.stop()
    await asyncio.sleep(DOWN_S)
    await relay.start()
    if not await relay.wait_until_ready():
        raise CannotRunError(f'{relay.name} did not become ready again')


async def disturb(
    servers: list[ModelServer], gateways: list[Gateway], record: Record
) -> None:
    """Lose packets, and kill one machine meanwhile."""
    losing = asyncio.create_task(lose_packets(servers))
    await asyncio.sleep(KILL_AFTER_S)
    await kill_relay(gateways, record)
    await losing


async def play(record: Record, folder: Path) -> None:
    """Play the case."""
    rng = random.Random()
    store = Store()
    await store.start()
    route = {
        'name': 'chat',
        'pathPrefix': '/chat/',
        'routeType': 'streaming',
        'service': 'savory-pool',
        'maxAttempts': 1,
        'timeoutMs': 6_000,
        'targetLatencyMs': 1_500,
        'gapTargetMs': 400,
        'resumable': False,
        'sticky': True,
    }
    engine = {'stride': STRIDE, 'kvTokens': 582_373, 'kvBytes': 35_136.0}
    service = {'name': 'savory-pool', 'maxConns': 370, 'engine': engine}
    store.put('keyed.op', 'config', make_config(1, [route], [service]))
    servers = [ModelServer(each, record, store) for each in range(SERVERS)]
    for server in servers:
        server.start()
    gateways = [Gateway(each, folder, store.port) for each in range(GATEWAYS)]
    tasks = [asyncio.create_task(report_forever(servers))]
    try:
        if not await start_all(gateways):
            raise CannotRunError('a gateway did not become ready')
        await asyncio.sleep(WARM_UP_S)
        for number in range(CONSUMERS):
            consumer = Consumer(number, gateways, record, rng)
            tasks.append(asyncio.create_task(consumer.run()))
        for _ in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            if has_trouble():
                await disturb(servers, gateways, record)
            else:
                await asyncio.sleep(LOSSY_S)
        await asyncio.sleep(CALM_S)
        record.add(f'connections opened to servers: {[s.opened for s in servers]}')
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            gateway.send_signal(signal.SIGCONT)
            await gateway.stop()
        for server in servers:
            server.close()
        store.close()
    if not record.runs:
        raise CannotRunError('no request ran')


if __name__ == '__main__':
    run_case(Path(__file__).parent, play)
