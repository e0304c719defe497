"""Gateways, endpoints and a store on loopback and on virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from store_stand_in import run_store

from savorychute.gateway.daemon.run_gateway import run_host
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.http.client_pool import PoolSettings, ServerAddress, open_pool
from savorychute.http.http_request import HttpRequest
from savorychute.http.timed_call import fetch
from savorychute.logs import InstanceLog
from savorychute.settings.settings_file import parse_schema
from savorychute.testing.ports import free_ports
from savorychute.testing.stand_in_http import LOOPBACK, serve
from savorychute.testing.virtual_loop import LoopClock

PLATFORM = str(Path(__file__).parents[2] / 'platform')
KEY = 'kochi-key'
CALL_MS = 10_000
LOOK_S = 0.02


async def until(holds):
    """Wait until a condition holds; the test's own timeout ends a wait in vain."""
    while not holds():
        await asyncio.sleep(LOOK_S)


class Endpoint:
    """An endpoint that answers every request and keeps what it got."""

    def __init__(self, name, service, engine):
        self.name = name
        self.service = service
        self.engine = engine
        self.port = 0
        self.got = []
        self.times = []
        self.event_s = 0.0
        self.hold = None
        self.breaks = False
        self.sheds = False
        # What each answer says beside the answer itself.
        self.stated = ()
        self.reports_s = []
        self.report = b'{"waiting":0,"running":0,"runs":[]}'
        self._tasks = set()

    def entry(self, **fields):
        document = {
            'service': self.service,
            'address': f'{LOOPBACK}:{self.port}',
            'zone': 'kochi',
            'slots': 8,
            'state': 'ready',
            'sequence': 1,
        }
        return json.dumps(document | fields).encode()

    def handle(self, exchange):
        task = asyncio.get_running_loop().create_task(self._answer(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, exchange):
        headers = dict(exchange.request.headers)
        if exchange.request.target == '/-/report':
            self.reports_s.append(asyncio.get_running_loop().time())
            exchange.respond(200, self.stated, self.report)
            return
        self.got.append(headers)
        self.times.append(asyncio.get_running_loop().time())
        if headers.get('target-instance') != self.name:
            exchange.respond(421, (), b'')
            return
        if self.breaks:
            exchange.abort()
            return
        if self.sheds:
            exchange.respond(503, (('not-executed', '1'), *self.stated), b'')
            return
        proof = [
            ('attempt-id', headers['attempt-id']),
            ('server-signature', 's'),
            *self.stated,
        ]
        if not self.engine:
            await asyncio.sleep(self.event_s)
            if self.hold is not None:
                await self.hold.wait()
            exchange.respond(200, proof, exchange.request.body or b'done')
            return
        exchange.start(200, [*proof, ('content-type', 'text/event-stream')])
        for number in (1, 2, 3):
            await asyncio.sleep(self.event_s)
            exchange.send(f'id: {number}\ndata: x\n\n'.encode())
            if self.hold is not None:
                await self.hold.wait()
        exchange.finish()


def make_configuration(version=1, **fields):
    route = {
        'hostname': 'desk.example',
        'timeoutMs': 5_000,
        'targetLatencyMs': 1_000,
        'maxAttempts': 2,
    }
    document = {
        'version': version,
        'routes': [
            route
            | {
                'name': 'a',
                'pathPrefix': '/a/',
                'routeType': 'idempotent',
                'service': 'desk',
            },
            route
            | {
                'name': 's',
                'pathPrefix': '/s/',
                'routeType': 'streaming',
                'service': 'pool',
                'resumable': True,
                'gapTargetMs': 250,
            },
        ],
        'services': [
            {'name': 'desk', 'maxConns': 100},
            {'name': 'pool', 'maxConns': 100, 'engine': {'slots': 8}},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'kochi', 'apiKeys': [KEY]}],
    }
    return json.dumps(document | fields).encode()


class Gateway:
    """One instance and its addresses, whether it runs or not."""

    def __init__(self, settings, clock, rng):
        self.settings = settings
        self.host = None
        self._clock = clock
        self._rng = rng
        self._stack = AsyncExitStack()

    async def start(self):
        log = InstanceLog(self.settings.instance)
        host = run_host(self.settings, log, self._clock, self._rng)
        self.host = await self._stack.enter_async_context(host)

    async def stop(self):
        """Leave in order, as after SIGTERM."""
        await self.host.leave()
        await self.kill()

    async def kill(self):
        """End at once, and tell nobody."""
        self.host = None
        await self._stack.aclose()


class Rig:
    """Everything that runs, and a caller."""

    def __init__(self, store, endpoints, gateways, pool):
        self.store = store
        self.endpoints = endpoints
        self.gateways = gateways
        self._pool = pool
        self._number = 0
        self.last_id = ''

    def now_s(self):
        return asyncio.get_running_loop().time()

    def write_configuration(self, version=1, **fields):
        self.store.put('keyed.op', 'config', make_configuration(version, **fields))

    def write_entries(self, **fields):
        for name in self.endpoints:
            self.write_entry(name, **fields)

    def write_entry(self, name, **fields):
        self.store.put('keyed.servers', name, self.endpoints[name].entry(**fields))

    async def get(self, address, target):
        request = HttpRequest('GET', target)
        return await fetch(self._pool, ServerAddress(*address), request, CALL_MS)

    async def call(
        self,
        path='/a/1',
        gateway=0,
        key=KEY,
        method='GET',
        body=b'',
        extra=(),
        address=None,
    ):
        self._number += 1
        self.last_id = f'try-{self._number}'
        headers = (
            ('host', 'desk.example'),
            ('attempt-id', self.last_id),
            ('deadline-ms', '5000'),
            ('authorization', f'Bearer {key}'),
            *extra,
        )
        address = address or self.gateways[gateway].settings.caller_address
        request = HttpRequest(method, path, headers, body)
        return await fetch(self._pool, ServerAddress(*address), request, CALL_MS)

    async def until_status(self, status, **call):
        """Call until the answer has a status; return it."""
        while True:
            response = await self.call(**call)
            if getattr(response, 'status', 0) == status:
                return response
            await asyncio.sleep(LOOK_S)


def make_settings(number, store_port, **fields):
    caller, readiness, discovery, metrics, peer = free_ports(5)
    document = {
        'instance': f'kochi-{number}',
        'region': 'kerala',
        'failure_domain': 'kochi',
        'caller_address': f'{LOOPBACK}:{caller}',
        'readiness_address': f'{LOOPBACK}:{readiness}',
        'discovery_address': f'{LOOPBACK}:{discovery}',
        'metrics_port': metrics,
        'peer_port': peer,
        'store_address': f'{LOOPBACK}:{store_port}',
        'extension_paths': [PLATFORM],
        'extensions': ['fleet'],
        'platform': 'fleet',
        'store_timeout_ms': 300,
    }
    return parse_schema(json.dumps(document | fields), 'rig', GATEWAY_SCHEMA)


@asynccontextmanager
async def run_rig(gateways=1, spare=False, desks=1, **settings):
    """Run a store, endpoints and some gateways until the block ends.

    All plain endpoints do the same; a spare one is one more of them.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(run_store())
        endpoints = {'e1': Endpoint('e1', 'pool', engine=True)}
        for number in range(1, desks + spare + 1):
            name = f'd{number}'
            endpoints[name] = Endpoint(name, 'desk', engine=False)
        for endpoint in endpoints.values():
            server = await stack.enter_async_context(
                serve(endpoint.handle, LOOPBACK, 0)
            )
            endpoint.port = server.port
        clock = LoopClock()
        pool = stack.enter_context(open_pool(PoolSettings(), clock))
        rig = Rig(store, endpoints, [], pool)
        rig.write_configuration()
        rig.write_entries()
        for number in range(gateways):
            chosen = make_settings(number, store.port, **settings)
            gateway = Gateway(chosen, clock, random.Random(number))
            stack.push_async_callback(gateway.kill)
            await gateway.start()
            rig.gateways.append(gateway)
        for number in range(gateways):
            await rig.until_status(200, gateway=number)
        yield rig
