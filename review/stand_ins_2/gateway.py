"""Starts gateways with the command of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from http_server import LOOPBACK

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 40.0
GRACE_S = 8.0
# The bounds of the small deployments' sheets.
BOUNDS: dict[str, Any] = {
    'grace_s': GRACE_S,
    'drain_notice_ms': 2000,
    'revoke_notice_ms': 5000,
    'refuse_unconfirmed_keys': True,
    'configuration_notice_ms': 2000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 52,
    'memory_mb': 150,
}


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    sockets, ports = [], []
    while len(ports) < count:
        tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        tcp.bind((LOOPBACK, 0))
        with suppress(OSError):
            udp.bind((LOOPBACK, tcp.getsockname()[1]))
            ports.append(tcp.getsockname()[1])
    for each in sockets:
        each.close()
    return ports


def read_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return str(deploy['roles']['gateway']['run']).split()


class Gateway:
    """One gateway process, its settings and its log."""

    def __init__(
        self, name: str, zone: str, store_port: int, folder: Path, **settings: Any
    ) -> None:
        self.name = name
        self.folder = folder
        ports = free_ports(6)
        self.port, self.readiness_port, self.directory_port = ports[:3]
        self.settings: dict[str, Any] = {
            'instance': name,
            'region': 'region-1',
            'failure_domain': zone,
            'caller_address': f'{LOOPBACK}:{self.port}',
            'readiness_address': f'{LOOPBACK}:{self.readiness_port}',
            'discovery_address': f'{LOOPBACK}:{self.directory_port}',
            'metrics_port': ports[3],
            'peer_port': ports[4],
            'tunnel_port': ports[5],
            'store_address': f'{LOOPBACK}:{store_port}',
            'extension_paths': ['platform'],
            'extensions': ['fleet'],
            'platform': 'fleet',
            'duties': [],
            **BOUNDS,
            **settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', str(self.folder)),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'SAVORYCHUTE_CONFIG': str(path),
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *read_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Ask for its readiness, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                LOOPBACK, self.readiness_port
            )
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it is running."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """End the process, whatever state it is in."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
