"""The gateway processes of a soak and the stand-ins for the platform."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from store_stand_in import StoreStandIn, run_store

from benches.gateway_soak.answers import KEEP_ALIVE
from benches.gateway_soak.endpoint import HEARTBEAT_INTERVAL_S, SoakEndpoint
from benches.gateway_soak.ledger import VERSIONS
from benches.gateway_soak.platform import PlatformStandIn
from benches.gateway_soak.proxy import LOOPBACK, Proxy
from savorychute.testing.ports import free_ports
from savorychute.testing.stand_in_http import serve

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from benches.gateway_soak.ledger import Ledger

ROOT = Path(__file__).parents[2]
GRACE_S = 3.0
INITIAL_ENDPOINTS = (
    *[('desk', VERSIONS[0])] * 3,
    *[('pool', VERSIONS[0])] * 2,
    *[('pool', VERSIONS[1])] * 2,
)
# Further endpoints that have few slots.
SMALL_ENDPOINTS = (('desk', VERSIONS[0]),) * 2
KILL_MARGIN_S = 1.0
# Logged by a gateway after it has read its settings.
STARTED_EVENT = b'"instance-started"'
# Usage windows are short, so that some of them end within a short run.
DUTY_FIELDS: dict[str, Any] = {
    'duties': ['metering'],
    'usage_window_s': 1,
    'usage_due_s': 10,
}


class GatewayProcess:
    """One gateway: its settings, its process and its proxy to the store."""

    def __init__(
        self, number: int, folder: Path, store: Proxy, duty_port: int | None
    ) -> None:
        self.number = number
        self._duty_port = duty_port
        self.store = store
        self.log = folder / f'gateway-{number}.log'
        self.settings = folder / f'gateway-{number}.jsonc'
        self.ports = free_ports(5)
        self.process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        # Length of the log when the process was started.
        self._log_start_bytes = 0
        # Times at which it was started or sent a signal.
        self.events_s: list[float] = []
        self.settings.write_text(json.dumps(self._make_settings()))

    @property
    def caller_port(self) -> int:
        """The port on which it serves callers."""
        return self.ports[0]

    async def start(self) -> None:
        """Start the process, unless another fault has started it already."""
        async with self._starting:
            if self.process is not None and self.process.returncode is None:
                return
            # A reload may have written invalid settings, with which no process starts.
            self.settings.write_text(json.dumps(self._make_settings()))
            self._record_event()
            with self.log.open('ab') as log:
                self._log_start_bytes = log.tell()
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'savorychute.gateway',
                    str(self.settings),
                    stdout=log,
                    stderr=log,
                    cwd=ROOT,
                )

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it is running."""
        if self.process is not None and self.process.returncode is None:
            self._record_event()
            # The method of the process would poll it, and take its exit code from the
            # event loop, which then reports 255.
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def _record_event(self) -> None:
        self.events_s.append(asyncio.get_running_loop().time())

    async def wait_or_kill(self) -> None:
        """Wait for the process to exit, and kill it after a timeout."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S + KILL_MARGIN_S):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    def _make_settings(self, **fields: Any) -> dict[str, Any]:
        caller_port, readiness_port, discovery_port, metrics_port, peer_port = (
            self.ports
        )
        if self._duty_port is not None:
            fields = DUTY_FIELDS | fields
            fields['duty_address'] = f'{LOOPBACK}:{self._duty_port}'
        return {
            'instance': f'soak-{self.number}',
            'region': 'soak',
            'failure_domain': f'domain-{self.number % 3}',
            'caller_address': f'{LOOPBACK}:{caller_port}',
            'readiness_address': f'{LOOPBACK}:{readiness_port}',
            'discovery_address': f'{LOOPBACK}:{discovery_port}',
            'metrics_port': metrics_port,
            'peer_port': peer_port,
            'store_address': f'{LOOPBACK}:{self.store.port}',
            'extension_paths': [str(ROOT / 'platform')],
            'extensions': ['fleet'],
            'platform': 'fleet',
            'grace_s': GRACE_S,
            'store_timeout_ms': 400,
        } | fields

    def change_settings(self, rng: random.Random) -> None:
        """Rewrite the settings, sometimes with an invalid value.

        A process that is starting has not read the file yet, and ends if it is invalid.
        Until the process has read it, the file is atomically replaced by a valid one.
        """
        slack = rng.choice([40, 50, 60, 'many'])
        if self.has_read_settings():
            self.settings.write_text(json.dumps(self._make_settings(retry_slack=slack)))
            return
        valid_slack = 50 if slack == 'many' else slack
        replacement = self.settings.with_suffix('.new')
        replacement.write_text(json.dumps(self._make_settings(retry_slack=valid_slack)))
        replacement.replace(self.settings)

    def has_read_settings(self) -> bool:
        """Return whether the process has read its settings file."""
        return STARTED_EVENT in self.log.read_bytes()[self._log_start_bytes :]


class Site:
    """The store, the endpoints and the gateways.

    :param folder: for settings and logs.
    :param ledger: records what happens.
    :param rng: random numbers for all choices.
    """

    def __init__(self, folder: Path, ledger: Ledger, rng: random.Random) -> None:
        self.folder = folder
        self.ledger = ledger
        self.rng = rng
        self.store: StoreStandIn
        self.endpoints: list[SoakEndpoint] = []
        self.gateways: list[GatewayProcess] = []
        self.platform: PlatformStandIn | None = None
        self.newest_version = VERSIONS[0]
        # Whether endpoints of one service have few slots, and are full at times.
        self.has_small_endpoints = False
        self.endpoint_proxies: list[Proxy] = []
        # Called with each request with a bad part; None if callers send none.
        self.on_bad_request: Callable[[SoakEndpoint, str], None] | None = None
        # Times at which the store began or ceased to fail.
        self.store_events_s: list[float] = []
        self._stack = AsyncExitStack()
        self._endpoint_count = 0
        self._version = 0
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self, gateways: int, *, duties: bool = False) -> None:
        """Start the store, the endpoints and the gateways.

        :param gateways: number of gateway processes.
        :param duties: whether one of them reports usage.
        """
        if duties:
            self.platform = PlatformStandIn(self.rng)
            await self._stack.enter_async_context(self.platform.run())
        self.store = await self._stack.enter_async_context(run_store())
        self.write_configuration()
        small_endpoints = SMALL_ENDPOINTS if self.has_small_endpoints else ()
        for service, version in INITIAL_ENDPOINTS + small_endpoints:
            await self.add_endpoint(service, version)
        self._heartbeat = asyncio.get_running_loop().create_task(
            self._write_heartbeats()
        )
        for number in range(gateways):
            proxy = Proxy(self.store.port)
            await proxy.start()
            duty_port = self.platform.port if self.platform is not None else None
            gateway = GatewayProcess(number, self.folder, proxy, duty_port)
            self.gateways.append(gateway)
            await gateway.start()

    async def stop(self) -> None:
        """Stop everything that this site has started, each process by its id."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGTERM)
        for gateway in self.gateways:
            await gateway.wait_or_kill()
            gateway.store.close()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self._stack.aclose()

    async def add_endpoint(self, service: str, version: str = '') -> SoakEndpoint:
        """Start an endpoint under a new name.

        :param service: its service.
        :param version: version of its software; empty for that of most endpoints.
        """
        version = version or self.newest_version
        self._endpoint_count += 1
        endpoint = SoakEndpoint(
            f'i-{self._endpoint_count}', service, version, self.ledger, self.rng
        )
        if self.has_small_endpoints:
            endpoint.is_small = service == 'desk'
            endpoint.stated_headers = KEEP_ALIVE
        if self.on_bad_request is not None:
            endpoint.on_bad_request = self.on_bad_request
            endpoint.has_chunks = service == 'desk' or self.rng.random() < 0.5
        server = await self._stack.enter_async_context(
            serve(endpoint.handle, LOOPBACK, 0)
        )
        endpoint.proxy = Proxy(server.port)
        self.endpoint_proxies.append(endpoint.proxy)
        await endpoint.proxy.start()
        self._stack.callback(endpoint.proxy.close)
        self.endpoints.append(endpoint)
        self.write_entry(endpoint)
        return endpoint

    def set_store_mode(self, mode: str) -> None:
        """Let the store fail in some way, or not any more.

        :param mode: the mode of the stand-in.
        """
        self.store.mode = mode
        self.store_events_s.append(asyncio.get_running_loop().time())

    def write_entry(self, endpoint: SoakEndpoint) -> None:
        """Write the entry of an endpoint, which serves as its heartbeat."""
        self.store.put('keyed.servers', endpoint.name, endpoint.encode_entry())

    def remove_entry(self, endpoint: SoakEndpoint) -> None:
        """Remove an endpoint and its entry permanently."""
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)
        self.store.put('keyed.servers', endpoint.name, None)

    def write_configuration(self) -> int:
        """Publish the next version of the configuration."""
        self._version += 1
        self.store.put('keyed.op', 'config', make_configuration(self._version))
        return self._version

    def rewrite_lost(self) -> None:
        """Rewrite what the operator and the endpoints had written."""
        document = make_configuration(self._version)
        self.store.put('keyed.op', 'config', document)
        for endpoint in self.endpoints:
            if not endpoint.crashed:
                self.write_entry(endpoint)

    async def _write_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for endpoint in self.endpoints:
                if not endpoint.crashed:
                    self.write_entry(endpoint)


def make_configuration(version: int) -> bytes:
    """Return a configuration version with all kinds of route."""
    shared = {'hostname': 'soak', 'timeoutMs': 5_000, 'targetLatencyMs': 1_000}
    routes = [
        shared
        | {
            'name': kind,
            'pathPrefix': f'/{kind}/',
            'routeType': route_type,
            'service': service,
            'maxAttempts': attempts,
            'resumable': kind == 'stream',
            'gapTargetMs': 300,
        }
        for kind, route_type, service, attempts in (
            ('twice', 'idempotent', 'desk', 2),
            ('once', 'non_idempotent', 'desk', 1),
            ('stream', 'streaming', 'pool', 3),
            ('events', 'streaming', 'pool', 3),
        )
    ]
    document = {
        'version': version,
        'routes': routes,
        'services': [{'name': 'desk'}, {'name': 'pool', 'engine': {}}],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'soak', 'apiKeys': ['soak-key']}],
    }
    return json.dumps(document).encode()
