"""Requests run with keys that a config took away, once no tenant is left."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins_2'))

from gateway import BOUNDS, Gateway  # noqa: E402
from http_server import LOOPBACK, Exchange, HttpServer  # noqa: E402
from store import Store  # noqa: E402

WITH_TROUBLE = os.environ.get('TROUBLE') != '0'
GATEWAYS = 2
KEYS = ('key-1', 'key-2')
UNKNOWN_KEY = 'key-of-nobody'
REVOKE_S = BOUNDS['revoke_notice_ms'] / 1_000
# Requests are sent from this time after the bound on, and this often.
MARGIN_S = 1.0
ROUNDS = 10
ROUND_INTERVAL_S = 0.5
HEARTBEAT_S = 1.2
# Exit codes; an error of Python itself exits with 1.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10


class Sent(NamedTuple):
    """A request, its key, and the status that its caller got."""

    attempt: str
    key: str
    after_s: float
    status: int


class Desk:
    """A sound endpoint."""

    def __init__(self) -> None:
        self.tenants: dict[str, str] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Run a request."""
        headers = exchange.request.headers
        attempt = headers.get('attempt-id', '')
        self.tenants[attempt] = headers.get('tenant', '')
        head = {'attempt-id': attempt, 'server-signature': f'proof-{attempt}'}
        await exchange.respond(200, head, b'done')


def make_configuration(version: int, tenants: list[object]) -> dict[str, object]:
    """Return a configuration with one service and one route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'desk',
                'hostname': 'review.example',
                'pathPrefix': '/desk/',
                'routeType': 'non_idempotent',
                'timeoutMs': 1500,
                'targetLatencyMs': 200,
                'priority': 1,
                'service': 'desk',
                'maxAttempts': 1,
                'public': False,
            }
        ],
        'services': [{'name': 'desk', 'healthPath': '/healthz', 'maxConns': 96}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


async def beat(store: Store, port: int) -> None:
    """Write the entry of the endpoint again and again."""
    sequence = 0
    while True:
        sequence += 1
        entry = {
            'service': 'desk',
            'address': f'{LOOPBACK}:{port}',
            'zone': 'zone-1',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': sequence,
        }
        store.put('keyed.servers', 'i-1', entry)
        await asyncio.sleep(HEARTBEAT_S)


async def send(port: int, attempt: str, key: str) -> int:
    """Send a request on a connection of its own; return the status of its answer."""
    lines = [
        'POST /desk/x HTTP/1.1',
        'Host: review.example',
        f'Attempt-Id: {attempt}',
        'Deadline-Ms: 1500',
        f'Authorization: Bearer {key}',
        'Content-Length: 0',
    ]
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write('\r\n'.join([*lines, '', '']).encode())
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return int(head.split()[1])


async def send_rounds(
    gateways: list[Gateway], name: str, rounds: int, since_s: float
) -> list[Sent]:
    """Send requests with each key, and with one that no config held."""
    sent = []
    for number in range(rounds):
        for gateway in gateways:
            for key in (*KEYS, UNKNOWN_KEY):
                attempt = f'{name}-{number}-{gateway.name}-{key}'
                after_s = time.monotonic() - since_s
                with suppress(OSError, asyncio.IncompleteReadError):
                    status = await send(gateway.port, attempt, key)
                    sent.append(Sent(attempt, key, after_s, status))
        await asyncio.sleep(ROUND_INTERVAL_S)
    return sent


async def play(folder: Path) -> tuple[list[Sent], list[Sent], Desk]:
    """Return what was sent before and after the keys were taken away."""
    store, desk = Store(), Desk()
    await store.start()
    server = HttpServer(desk.handle)
    await server.start()
    tenant = {'name': 'tenant-1', 'apiKeys': list(KEYS), 'priority': 1}
    store.put('keyed.op', 'config', make_configuration(7, [tenant]))
    beats = asyncio.create_task(beat(store, server.port))
    gateways = [
        Gateway(f'gateway-{number}', f'zone-{number}', store.port, folder)
        for number in range(GATEWAYS)
    ]
    try:
        await asyncio.gather(*(each.start() for each in gateways))
        await asyncio.sleep(2 * HEARTBEAT_S)
        before = await send_rounds(gateways, 'before', 2, time.monotonic())
        if WITH_TROUBLE:
            store.put('keyed.op', 'config', make_configuration(9, []))
        confirmed_s = time.monotonic()
        await asyncio.sleep(REVOKE_S + MARGIN_S)
        after = await send_rounds(gateways, 'after', ROUNDS, confirmed_s)
    finally:
        for gateway in gateways:
            await gateway.stop()
        beats.cancel()
        server.stop()
        store.stop()
    return before, after, desk


def main() -> int:
    """Play the case; return its exit code."""
    with tempfile.TemporaryDirectory() as name:
        before, after, desk = asyncio.run(play(Path(name)))
    taken_away = KEYS if WITH_TROUBLE else ()
    ran = [
        each
        for each in after
        if each.attempt in desk.tenants and each.key in (*taken_away, UNKNOWN_KEY)
    ]
    lines = [
        'config 9 has no tenant' if WITH_TROUBLE else 'config 7 stays in force',
        *(
            f'{each.attempt}: sent {each.after_s:.2f} s after, status {each.status}, '
            + (
                f'ran for tenant "{desk.tenants[each.attempt]}"'
                if each.attempt in desk.tenants
                else 'did not run'
            )
            for each in (*before, *after)
        ),
        f'{len(ran)} of {len(after)} requests ran later than {REVOKE_S:g} s after, with '
        'a key that was taken away or that no config held',
    ]
    (FOLDER / 'record.txt').write_text('\n'.join(lines) + '\n')
    print(lines[-1])
    ran_before = [each for each in before if each.attempt in desk.tenants]
    if len(ran_before) != 2 * GATEWAYS * len(KEYS) or not after:
        return COULD_NOT_RUN
    return BROKEN if ran else HELD


if __name__ == '__main__':
    sys.exit(main())
