"""One gateway with low limits, as its own process, with a store and endpoints."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

from crowd_callers import HOST, KEY, LOOPBACK, ask_ordinary
from crowd_endpoint import CrowdEndpoint
from crowd_process import (
    BODY_BYTES,
    HEADER_BYTES,
    POLL_S,
    ROOT,
    CrowdProcess,
    start_process,
    watch,
)
from store_stand_in import run_store

from savorychute.testing.ports import free_ports

MEMORY_MB = 100
READY_S = 30
ENDPOINTS = 3


def make_configuration(version=1, **limits):
    """Return a configuration with one route, and limits of which some can be changed."""
    document = {
        'version': version,
        'routes': [
            {
                'name': 'a',
                'hostname': HOST,
                'pathPrefix': '/a/',
                'routeType': 'idempotent',
                'service': 'desk',
                'timeoutMs': 10_000,
                'targetLatencyMs': 1_000,
                'maxAttempts': 2,
            }
        ],
        'services': [{'name': 'desk', 'maxConns': 200}],
        'limits': {
            'maxHeaderBytes': HEADER_BYTES,
            'maxBodyBytes': BODY_BYTES,
            'headerTimeoutMs': 10_000,
            'idleTimeoutMs': 15_000,
        }
        | limits,
        'tenants': [{'name': 'kochi', 'apiKeys': [KEY]}],
    }
    return json.dumps(document).encode()


class CrowdSite(CrowdProcess):
    """A gateway.

    :param process: the gateway.
    :param ports: its ports for callers, readiness, discovery, metrics, peers and tunnels.
    :param store: the store.
    """

    def __init__(self, process, ports, store):
        super().__init__(process, ports[0], MEMORY_MB)
        (
            _,
            self.readiness_port,
            self.discovery_port,
            self.metrics_port,
            self.peer_port,
            self.tunnel_port,
        ) = ports
        self.store = store

    async def ask_ordinary(self):
        """Ask as an ordinary caller; return the last status."""
        return await ask_ordinary(self.caller_port)

    def write_configuration(self, version, **limits):
        self.store.put('keyed.op', 'config', make_configuration(version, **limits))


def make_settings(ports, store_port):
    caller, readiness, discovery, metrics, peer, tunnel = ports
    return {
        'instance': 'kochi-1',
        'region': 'kerala',
        'failure_domain': 'kochi',
        'caller_address': f'{LOOPBACK}:{caller}',
        'readiness_address': f'{LOOPBACK}:{readiness}',
        'discovery_address': f'{LOOPBACK}:{discovery}',
        'metrics_port': metrics,
        'peer_port': peer,
        'tunnel_port': tunnel,
        'store_address': f'{LOOPBACK}:{store_port}',
        'extension_paths': [str(ROOT / 'platform')],
        'extensions': ['fleet'],
        'platform': 'fleet',
        'memory_mb': MEMORY_MB,
        'grace_s': 8,
    }


async def start_gateway(folder, settings):
    path = folder / 'gateway.jsonc'
    path.write_text(json.dumps(settings))
    return await start_process(folder, 'savorychute.gateway', str(path))


async def wait_until_ready(site):
    async with asyncio.timeout(READY_S):
        while not await is_ready(site.readiness_port):
            await asyncio.sleep(POLL_S)


async def is_ready(port):
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return False
    writer.write(b'GET /-/readyz HTTP/1.1\r\nhost: x\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return b' 200 ' in line


@asynccontextmanager
async def run_site(folder):
    """Run a store, endpoints and the gateway until the block ends."""
    endpoints = [CrowdEndpoint(f'd{number}') for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    async with run_store() as store:
        store.put('keyed.op', 'config', make_configuration())
        heartbeat = asyncio.create_task(write_entries(store, endpoints))
        ports = free_ports(6)
        process = await start_gateway(folder, make_settings(ports, store.port))
        site = CrowdSite(process, ports, store)
        try:
            async with watch(site):
                await wait_until_ready(site)
                yield site
        finally:
            heartbeat.cancel()
            for endpoint in endpoints:
                endpoint.stop()


async def write_entries(store, endpoints):
    """Write the entries of the endpoints again and again."""
    sequence = 0
    while True:
        sequence += 1
        for endpoint in endpoints:
            document = {
                'service': 'desk',
                'address': f'{LOOPBACK}:{endpoint.port}',
                'zone': 'kochi',
                'version': '1',
                'slots': 16,
                'state': 'ready',
                'sequence': sequence,
            }
            store.put('keyed.servers', endpoint.name, json.dumps(document).encode())
        await asyncio.sleep(1.0)
