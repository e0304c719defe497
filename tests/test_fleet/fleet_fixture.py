"""Runs gateways, endpoints and a store on loopback and on virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from crashing_engine import CrashingEngine
from endpoint_cut import RUNNING_GATEWAY, EndpointCut
from store_stand_in import run_store

from savorychute.gateway.daemon.run_gateway import run_host
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.gateway.streams.stored_origins import encode_marks, make_service_key
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
CALL_TIMEOUT_MS = 10_000
POLL_INTERVAL_S = 0.02


async def wait_until(condition):
    """Wait until a condition holds; the timeout of the test limits the wait."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)


class FakeEndpoint:
    """An endpoint that responds to every request, and stores the received headers."""

    def __init__(self, name, service, is_engine):
        self.name = name
        self.service = service
        self.is_engine = is_engine
        self.port = 0
        self.received = []
        self.received_times_s = []
        # Number of requests whose connection was closed before the response.
        self.left = 0
        self.delay_s = 0.0
        self.hold = None
        self.aborts = False
        self.sheds = False
        # Headers by which each response states something about the endpoint.
        self.statement_headers = ()
        self.report_times_s = []
        self.report_body = b'{"waiting":0,"running":0,"runs":[]}'
        self._tasks = set()

    @classmethod
    def engine(cls, name):
        return cls(name, 'pool', is_engine=True)

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
        exchange.on_left = self._record_left
        task = asyncio.get_running_loop().create_task(self._respond(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_left(self):
        self.left += 1

    async def _respond(self, exchange):
        headers = dict(exchange.request.headers)
        if exchange.request.target == '/-/report':
            self.report_times_s.append(asyncio.get_running_loop().time())
            exchange.respond(200, self.statement_headers, self.report_body)
            return
        self.received.append(headers)
        self.received_times_s.append(asyncio.get_running_loop().time())
        named = ('attempt-id', headers['attempt-id'])
        if headers.get('target-instance') != self.name:
            exchange.respond(421, (named,), b'')
            return
        if self.aborts:
            exchange.abort()
            return
        if self.sheds:
            refusal = (named, ('not-executed', '1'), *self.statement_headers)
            exchange.respond(503, refusal, b'')
            return
        proof = [named, ('server-signature', 's'), *self.statement_headers]
        if not self.is_engine:
            await asyncio.sleep(self.delay_s)
            if self.hold is not None:
                await self.hold.wait()
            exchange.respond(200, proof, exchange.request.body or b'done')
            return
        exchange.start(200, [*proof, ('content-type', 'text/event-stream')])
        for number in (1, 2, 3):
            await asyncio.sleep(self.delay_s)
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
                'name': 'p',
                'pathPrefix': '/p/',
                'routeType': 'non_idempotent',
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
    """One instance, which can be started and stopped, and its addresses."""

    def __init__(self, number, settings, clock, rng):
        self.settings = settings
        self.host = None
        self._number = number
        self._clock = clock
        self._rng = rng
        self._stack = AsyncExitStack()

    async def start(self):
        log = InstanceLog(self.settings.instance)
        host = run_host(self.settings, log, self._clock, self._rng)
        running = RUNNING_GATEWAY.set(self._number)
        try:
            self.host = await self._stack.enter_async_context(host)
        finally:
            RUNNING_GATEWAY.reset(running)

    async def stop(self):
        """Stop gracefully, as after SIGTERM."""
        await self.host.leave()
        await self.kill()

    async def kill(self):
        """Stop at once, without notifying other instances."""
        self.host = None
        await self._stack.aclose()


class FleetFixture:
    """A running store, endpoints and gateways, with a caller."""

    def __init__(self, store, endpoints, gateways, pool):
        ports = {endpoint.port for endpoint in endpoints.values()}
        self.cut = EndpointCut(asyncio.get_running_loop(), ports)
        self.store = store
        self.endpoints = endpoints
        self.gateways = gateways
        self._pool = pool
        self._attempt_count = 0
        self.last_attempt_id = ''

    def now_s(self):
        return asyncio.get_running_loop().time()

    def write_configuration(self, version=1, **fields):
        self.store.put('keyed.op', 'config', make_configuration(version, **fields))

    def write_marks(self, versions):
        """Write marks of engines' versions, as an earlier run of the system has."""
        marks = encode_marks('pool', dict.fromkeys(versions, 1))
        self.store.put('keyed.versions', make_service_key('pool'), marks)

    def write_entries(self, **fields):
        for name in self.endpoints:
            self.write_entry(name, **fields)

    def write_entry(self, name, **fields):
        self.store.put('keyed.servers', name, self.endpoints[name].entry(**fields))

    async def get(self, address, target):
        request = HttpRequest('GET', target)
        return await fetch(
            self._pool, ServerAddress(*address), request, CALL_TIMEOUT_MS
        )

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
        self._attempt_count += 1
        self.last_attempt_id = f'try-{self._attempt_count}'
        headers = (
            ('host', 'desk.example'),
            ('attempt-id', self.last_attempt_id),
            ('deadline-ms', '5000'),
            ('authorization', f'Bearer {key}'),
            *extra,
        )
        address = address or self.gateways[gateway].settings.caller_address
        request = HttpRequest(method, path, headers, body)
        return await fetch(
            self._pool, ServerAddress(*address), request, CALL_TIMEOUT_MS
        )

    async def call_until_status(self, status, **call):
        """Call until the response has a status; return that response."""
        while True:
            response = await self.call(**call)
            if getattr(response, 'status', 0) == status:
                return response
            await asyncio.sleep(POLL_INTERVAL_S)


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
    return parse_schema(json.dumps(document | fields), 'fleet-fixture', GATEWAY_SCHEMA)


async def _start_endpoint(endpoint, store, stack):
    """Let an endpoint listen until the stack is closed."""
    if isinstance(endpoint, CrashingEngine):
        endpoint.put = lambda name, entry: store.put('keyed.servers', name, entry)
        stack.push_async_callback(endpoint.stop)
        await endpoint.start()
        return
    server = await stack.enter_async_context(serve(endpoint.handle, LOOPBACK, 0))
    endpoint.port = server.port


@asynccontextmanager
async def run_fleet(
    gateways=1,
    spare=False,
    plain_endpoints=1,
    engines=1,
    make_engine=FakeEndpoint.engine,
    has_marks=True,
    **settings,
):
    """Run a store, endpoints and some gateways until the block ends.

    All plain endpoints are equivalent; ``spare`` adds another one.  ``make_engine``
    returns the engine with a name; ``has_marks`` is false for the first start ever.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(run_store())
        endpoints = {}
        for number in range(1, engines + 1):
            name = f'e{number}'
            endpoints[name] = make_engine(name)
        for number in range(1, plain_endpoints + spare + 1):
            name = f'd{number}'
            endpoints[name] = FakeEndpoint(name, 'desk', is_engine=False)
        for endpoint in endpoints.values():
            await _start_endpoint(endpoint, store, stack)
        clock = LoopClock()
        pool = stack.enter_context(open_pool(PoolSettings(), clock))
        fleet = FleetFixture(store, endpoints, [], pool)
        fleet.write_configuration()
        fleet.write_entries()
        if has_marks:
            fleet.write_marks([''])
        for number in range(gateways):
            gateway_settings = make_settings(number, store.port, **settings)
            gateway = Gateway(number, gateway_settings, clock, random.Random(number))
            stack.push_async_callback(gateway.kill)
            await gateway.start()
            fleet.gateways.append(gateway)
        for number in range(gateways):
            await fleet.call_until_status(200, gateway=number)
        yield fleet
