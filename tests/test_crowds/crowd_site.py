"""One gateway with low limits, as its own process, with a store and endpoints."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

from crowd_endpoint import LOOPBACK, CrowdEndpoint
from store_stand_in import run_store

from savorychute.testing.ports import free_ports

ROOT = Path(__file__).parents[2]
HOST = 'desk.example'
KEY = 'kochi-key'
MEMORY_MB = 100
FILES = 400
# Descriptors that must stay free for endpoints, the store and peers.
SPARE_FILES = 40
BODY_BYTES = 1_048_576
HEADER_BYTES = 16_384
POLL_S = 0.05
READY_S = 30
ENDPOINTS = 3
KB_PER_MB = 1024


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


class CrowdSite:
    """The process under test and what it is expected to keep within.

    :param process: the gateway.
    :param ports: its ports for callers, readiness, discovery, metrics, peers and tunnels.
    :param store: the store.
    """

    def __init__(self, process, ports, store):
        self.process = process
        (
            self.caller_port,
            self.readiness_port,
            self.discovery_port,
            self.metrics_port,
            self.peer_port,
            self.tunnel_port,
        ) = ports
        self.store = store
        self.most_files = 0

    @property
    def is_alive(self):
        return self.process.returncode is None

    def read_peak_mb(self):
        """Return the largest resident memory that the process has had."""
        status = Path(f'/proc/{self.process.pid}/status').read_text('ascii')
        return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / KB_PER_MB

    async def watch_files(self):
        """Note how many descriptors are open until the task is cancelled."""
        folder = f'/proc/{self.process.pid}/fd'
        while self.is_alive:
            self.most_files = max(self.most_files, len(os.listdir(folder)))
            await asyncio.sleep(POLL_S)

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
    """Start the process with a low limit on descriptors."""
    path = folder / 'gateway.jsonc'
    path.write_text(json.dumps(settings))
    with (folder / 'gateway.log').open('ab') as log:
        return await asyncio.create_subprocess_exec(
            'sh',
            '-c',
            f'ulimit -n {FILES}; exec "$@"',
            'sh',
            sys.executable,
            '-m',
            'savorychute.gateway',
            str(path),
            stdout=log,
            stderr=log,
            cwd=ROOT,
        )


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
    _, most_files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most_files, most_files))
    endpoints = [CrowdEndpoint(f'd{number}') for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    async with run_store() as store:
        store.put('keyed.op', 'config', make_configuration())
        heartbeat = asyncio.create_task(write_entries(store, endpoints))
        ports = free_ports(6)
        process = await start_gateway(folder, make_settings(ports, store.port))
        site = CrowdSite(process, ports, store)
        watch = asyncio.create_task(site.watch_files())
        try:
            await wait_until_ready(site)
            yield site
        finally:
            watch.cancel()
            heartbeat.cancel()
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
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
