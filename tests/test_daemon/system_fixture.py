"""A configured system over sockets, for tests of the daemon."""

from __future__ import annotations

import asyncio
import hashlib
import json
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

from daemon_fakes import call, wait_until

from savorychute.client import ClientSettings
from savorychute.config import build_settings
from savorychute.daemon.main import run_instance
from savorychute.http.client_pool import ServerAddress
from savorychute.logs import InstanceLog, LogLevel
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_server import serve_engine
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log
from savorychute.testing.plain_service import PlainService, ServiceSettings
from savorychute.testing.service_server import serve_service
from savorychute.testing.stand_in_http import loop_ms

TOKEN = 'organisation-token'
OPERATOR_TOKEN = 'operator-token'
OPERATOR = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
CALLER = {'authorization': f'Bearer {TOKEN}', 'x-request-class': 'diagnosis'}
DOMAINS = ('kochi-hall', 'thrissur-hall', 'kozhikode-hall')
CONTRACT = {
    'organisation': 'malanadu',
    'token_hashes': [hashlib.sha256(TOKEN.encode()).hexdigest()],
    'pool_share': 1.0,
    'requests_per_s': 100.0,
    'concurrent_requests': 50,
    'tokens_per_s': 100_000.0,
    'models': ['model'],
    'services': ['desk'],
    'classes': [
        {
            'name': 'diagnosis',
            'tier': 0,
            'first_token_target_ms': 500,
            'token_gap_target_ms': 100,
            'timeout_ms': 20_000,
            'weight': 1.0,
            'idempotent': True,
        },
        {
            'name': 'visit-log',
            'tier': 1,
            'first_token_target_ms': 1_000,
            'token_gap_target_ms': 1_000,
            'timeout_ms': 20_000,
            'weight': 1.0,
            'idempotent': False,
        },
    ],
}


def make_settings(log_port, list_port, name='entry-1', domain='kochi-hall'):
    return {
        'instance': name,
        'region': 'kerala',
        'failure_domain': domain,
        'host': '127.0.0.1',
        'caller_port': 0,
        'peer_port': 0,
        'log_address': f'127.0.0.1:{log_port}',
        'list_address': f'127.0.0.1:{list_port}',
        'peer_keys': [{'key_id': 1, 'secret': '00' * 16}],
        'operator_token_hashes': {
            'anna': hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        },
        'leave_grace_ms': 0,
    }


async def send_request(port, method, target, headers, document=None):
    body = json.dumps(document).encode() if document is not None else b''
    async with call(port) as caller:
        caller.write_request(method, target, headers, body)
        return await caller.read_response()


async def send_command(port, verb, arguments):
    """Send a command; retry while the daemon has not read the log yet."""
    async with asyncio.timeout(20):
        while True:
            path = f'/v1/operator/{verb}'
            response = await send_request(port, 'POST', path, OPERATOR, arguments)
            if response.headers['x-result-code'] != '2007':
                break
            await asyncio.sleep(0.05)
    assert response.status == 200, response
    return json.loads(response.body)


def describe_engine(name, port):
    return {
        'endpoint': name,
        'dialect': 'openai-engine',
        'host': '127.0.0.1',
        'port': port,
        'region': 'kerala',
        'failure_domain': 'kochi-hall',
        'state': 'active',
        'concurrent_requests': 16,
        'models': ['model'],
    }


def describe_service(port):
    document = {**describe_engine('desk-1', port), 'dialect': 'plain-service'}
    del document['models']
    return {**document, 'service': 'desk'}


async def configure(port, *endpoints):
    """Configure the contract and the endpoints."""
    await send_command(
        port,
        'contract-amend',
        {
            'organisation': 'malanadu',
            'base_version': 0,
            'document': CONTRACT,
            'why': 'first',
        },
    )
    for document in endpoints:
        arguments = {'document': document, 'base_version': 0, 'why': 'first'}
        await send_command(port, 'endpoint-add', arguments)


async def wait_for_response(port, document):
    async with asyncio.timeout(20):
        while True:
            response = await send_request(
                port, 'POST', '/v1/chat/completions', CALLER, document
            )
            if response.status == 200:
                return response
            await asyncio.sleep(0.1)


class System:
    """Instances that can crash, with two engines and a service."""

    def __init__(self, stack):
        self.hosts = {}
        self.engines = []
        self.service = PlainService(ServiceSettings(service_ms=200.0))
        self.listing = InstanceList(0.0)
        self.ports = {}
        self._tasks = {}
        self._stack = stack

    async def start_fakes(self):
        """Start the platform and the endpoints."""
        enter = self._stack.enter_async_context
        log = AppendLog(LogSettings(latency_ms=1.0), Random(2))
        self.ports['log'] = (await enter(serve_log(log))).port
        self.ports['list'] = (await enter(serve_list(self.listing))).port
        self.ports['desk'] = (await enter(serve_service(self.service))).port
        for number in (1, 2):
            settings = EngineSettings(
                name=f'engine-{number}', step_ms=10.0, chunk_steps=1
            )
            engine = ModelEngine(settings, Random(number))
            self.engines.append(await enter(serve_engine(engine)))

    async def start(self, name, domain):
        """Start an instance in its own task."""
        settings = make_settings(self.ports['log'], self.ports['list'], name, domain)
        self._tasks[name] = asyncio.create_task(self._run(name, settings))
        await wait_until(lambda: name in self.hosts)
        self.listing.put(self.hosts[name].address, loop_ms())

    async def drain(self, name):
        """Shut an instance down gracefully, as for its replacement."""
        await self.hosts[name].drain()
        await self.crash(name)

    async def crash(self, name):
        """Stop an instance without a graceful shutdown."""
        self.hosts.pop(name)
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.wait([task])

    async def close(self):
        """Stop all instances."""
        for name in tuple(self._tasks):
            await self.crash(name)

    def find_busy_instance(self):
        """Return the name of an instance with a request in progress."""
        return next(
            name for name, host in self.hosts.items() if host.responses.in_progress
        )

    @property
    def client_settings(self):
        """The initial settings of a caller."""
        seeds = tuple(
            ServerAddress('127.0.0.1', host.address.caller_port)
            for host in self.hosts.values()
        )
        return ClientSettings(seeds, TOKEN)

    async def _run(self, name, settings):
        log = InstanceLog(name, LogLevel.ERROR)
        running = run_instance(build_settings(settings), log, rng=Random(name))
        async with running as host:
            self.hosts[name] = host
            await asyncio.Event().wait()


@asynccontextmanager
async def run_system():
    """Run six configured instances, the number at one site, until the block ends."""
    async with AsyncExitStack() as stack:
        system = System(stack)
        await system.start_fakes()
        try:
            for number, domain in enumerate(DOMAINS * 2, 1):
                await system.start(f'entry-{number}', domain)
            port = system.hosts['entry-1'].address.caller_port
            await configure(
                port,
                describe_engine('engine-1', system.engines[0].port),
                describe_engine('engine-2', system.engines[1].port),
                describe_service(system.ports['desk']),
            )
            await _wait_for_configuration(system)
            yield system
        finally:
            await system.close()


@asynccontextmanager
async def run_instances(*endpoints):
    """Run three instances at three sites, configured with *endpoints*."""
    async with AsyncExitStack() as stack:
        system = System(stack)
        await system.start_fakes()
        try:
            for number, domain in enumerate(DOMAINS, 1):
                await system.start(f'entry-{number}', domain)
            port = system.hosts['entry-1'].address.caller_port
            engine = describe_engine('engine-1', system.engines[0].port)
            await configure(port, engine, *endpoints)
            await _wait_for_configuration(system)
            yield system
        finally:
            await system.close()


async def _wait_for_configuration(system):
    document = {'model': 'model', 'messages': [{'role': 'user', 'content': 'ready?'}]}
    for host in system.hosts.values():
        await wait_for_response(host.address.caller_port, document)
