"""The site of the demonstration: stand-ins and daemons in one event loop."""

from __future__ import annotations

import random
import secrets
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.cmd.operator_client import OperatorClient
from savorychute.config import NetworkAddress, build_settings
from savorychute.daemon.main import run_instance
from savorychute.demo.documents import REGION
from savorychute.http.client_pool import ServerAddress
from savorychute.instance.directory import hash_token
from savorychute.logs import InstanceLog, LogLevel
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_server import EngineServer, serve_engine
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log
from savorychute.testing.plain_service import PlainService, ServiceSettings
from savorychute.testing.service_server import serve_service
from savorychute.testing.stand_in_http import loop_ms

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorychute.daemon.host import DaemonHost

DOMAINS = ('hall-a', 'hall-b', 'hall-c')
ENGINE_COUNT = 6
INSTANCE_COUNT = 4
OPERATOR = 'demo'
LIST_LAG_MS = 500.0
#: Short, so that the graceful restart completes within the demonstration.
DISCOVERY_LIFETIME_MS = 2_000
STEP_MS = 20.0
CHUNK_STEPS = 4


class Site:
    """The running stand-ins and daemons, with methods to start and stop them.

    :param seed: the seed of all random choices of the stand-ins.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.log = AppendLog(LogSettings(), self._fork_rng())
        self.instance_list = InstanceList(lag_ms=LIST_LAG_MS)
        self.engines: dict[str, EngineServer] = {}
        self.domains: dict[str, str] = {}
        self.service = PlainService(ServiceSettings())
        self.service_port = 0
        self.hosts: dict[str, DaemonHost] = {}
        self._log_port = 0
        self._list_port = 0
        self._operator_token = secrets.token_hex(16)
        self._peer_secret = secrets.token_hex(32)
        self._stacks: dict[str, AsyncExitStack] = {}

    @property
    def operator(self) -> OperatorClient:
        """A client that sends operator commands to the running instances."""
        addresses = tuple(
            NetworkAddress(host.address.host, host.address.caller_port)
            for host in self.hosts.values()
        )
        return OperatorClient(addresses, self._operator_token)

    @property
    def seeds(self) -> tuple[ServerAddress, ...]:
        """The addresses from which callers start discovery."""
        return tuple(
            ServerAddress(host.address.host, host.address.caller_port)
            for host in self.hosts.values()
        )

    def count_generated_tokens(self) -> int:
        """Return how many tokens all engines have generated."""
        return sum(each.engine.generated_tokens for each in self.engines.values())

    async def start_stand_ins(self, stack: AsyncExitStack) -> None:
        """Start the platform's log and instance list, the engines and the service."""
        log_server = await stack.enter_async_context(serve_log(self.log))
        list_server = await stack.enter_async_context(serve_list(self.instance_list))
        service_server = await stack.enter_async_context(serve_service(self.service))
        self._log_port = log_server.port
        self._list_port = list_server.port
        self.service_port = service_server.port
        for number in range(ENGINE_COUNT):
            name = f'engine-{number + 1}'
            settings = EngineSettings(
                name=name, step_ms=STEP_MS, chunk_steps=CHUNK_STEPS
            )
            engine = ModelEngine(settings, self._fork_rng())
            server = await stack.enter_async_context(serve_engine(engine))
            self.engines[name] = server
            self.domains[name] = DOMAINS[number % len(DOMAINS)]

    async def start_instance(self, name: str, failure_domain: str) -> None:
        """Start a daemon and add it to the platform's instance list."""
        settings = build_settings(
            {
                'instance': name,
                'region': REGION,
                'failure_domain': failure_domain,
                'host': '127.0.0.1',
                'caller_port': 0,
                'peer_port': 0,
                'log_address': f'127.0.0.1:{self._log_port}',
                'list_address': f'127.0.0.1:{self._list_port}',
                'operator_token_hashes': {OPERATOR: hash_token(self._operator_token)},
                'peer_keys': [{'key_id': 1, 'secret': self._peer_secret}],
                'leave_grace_ms': DISCOVERY_LIFETIME_MS,
                'discovery_min_lifetime_ms': DISCOVERY_LIFETIME_MS // 2,
                'discovery_max_lifetime_ms': DISCOVERY_LIFETIME_MS,
            }
        )
        stack = AsyncExitStack()
        log = InstanceLog(name, LogLevel.ERROR)
        host = await stack.enter_async_context(
            run_instance(settings, log, rng=self._fork_rng())
        )
        self.hosts[name] = host
        self._stacks[name] = stack
        self.instance_list.put(host.address, loop_ms())

    async def stop_instance(self, name: str) -> None:
        """Stop an instance gracefully."""
        host = self.hosts.pop(name)
        self.instance_list.mark_leaving(name, loop_ms())
        await host.drain()
        await self._stacks.pop(name).aclose()
        self.instance_list.delete(name, loop_ms())

    async def close(self) -> None:
        """Stop all daemons."""
        for stack in self._stacks.values():
            await stack.aclose()
        self._stacks.clear()
        self.hosts.clear()

    def _fork_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))


@asynccontextmanager
async def open_site(seed: int) -> AsyncIterator[Site]:
    """Run a site until the block ends.

    :param seed: the seed of all random choices of the stand-ins.
    """
    site = Site(seed)
    async with AsyncExitStack() as stack:
        await site.start_stand_ins(stack)
        try:
            for number in range(INSTANCE_COUNT):
                domain = DOMAINS[number % len(DOMAINS)]
                await site.start_instance(f'entry-{number + 1}', domain)
            yield site
        finally:
            await site.close()
