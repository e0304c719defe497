"""Starts the program of the deploy file, as separate processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import tomllib
from contextlib import suppress
from pathlib import Path

from standins.wire import (
    LOOPBACK,
    encode_request,
    find_free_ports,
    read_message,
)

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 8
READY_TIMEOUT_S = 20.0
POLL_S = 0.1
ZONES = ('kochi-hall', 'thrissur-hall', 'kozhikode-hall')


class Gateway:
    """One machine with the role ``gateway``.

    :param number: its number.
    :param folder: for its settings and its log.
    :param store_port: where the store listens.
    """

    def __init__(self, number: int, folder: Path, store_port: int) -> None:
        self.name = f'edge-{number + 1}'
        self.zone = ZONES[number % len(ZONES)]
        self._settings = folder / f'{self.name}.jsonc'
        self._log = folder / f'{self.name}.log'
        ports = find_free_ports(6)
        self.caller_port, self.readiness_port, self.discovery_port = ports[:3]
        self.metrics_port, self._peer_port, self.tunnel_port = ports[3:]
        self.process: asyncio.subprocess.Process | None = None
        self._settings.write_text(json.dumps(self._make_settings(store_port)))

    def _make_settings(self, store_port: int) -> dict[str, object]:
        """Return what the template of the deploy file yields, with the bounds of the site."""
        return {
            'instance': self.name,
            'region': 'kerala',
            'failure_domain': self.zone,
            'caller_address': f'{LOOPBACK}:{self.caller_port}',
            'readiness_address': f'{LOOPBACK}:{self.readiness_port}',
            'discovery_address': f'{LOOPBACK}:{self.discovery_port}',
            'metrics_port': self.metrics_port,
            'peer_port': self._peer_port,
            'tunnel_port': self.tunnel_port,
            'store_address': f'{LOOPBACK}:{store_port}',
            'extension_paths': ['platform'],
            'extensions': ['fleet'],
            'grace_s': GRACE_S,
            'drain_notice_ms': 2_000,
            'revoke_notice_ms': 5_000,
            'refuse_unconfirmed_keys': True,
            'configuration_notice_ms': 2_000,
            'retry_ratio': 0.2,
            'retry_window_s': 10,
            'retry_slack': 56,
            'duties': [],
            'memory_mb': 300,
            'platform': 'fleet',
        }

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text('utf-8'))
        role = deploy['roles']['gateway']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SAVORYCHUTE_CONFIG'] = str(self._settings)
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role['run']),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    async def wait_until_ready(self) -> bool:
        """Return whether its readiness check passes in time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                while await self._get(self.readiness_port, '/-/readyz') is None:
                    await asyncio.sleep(POLL_S)
                return True
        return False

    async def read_metric(self, name: str) -> float:
        """Return the sum of a metric over its labels, 0 if it cannot be read."""
        text = await self._get(self.metrics_port, '/metrics')
        lines = (text or b'').decode().splitlines()
        return sum(float(each.split()[-1]) for each in lines if each.startswith(name))

    async def _get(self, port: int, path: str) -> bytes | None:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, port)
                writer.write(encode_request('GET', path, {'Host': 'x'}))
                answer = await read_message(reader, is_request=False)
        except (OSError, TimeoutError):
            return None
        writer.close()
        return answer.body if answer and answer.start[1] == '200' else None

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it runs."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def start_all(gateways: list[Gateway]) -> bool:
    """Start gateways; return whether all of them became ready."""
    for gateway in gateways:
        await gateway.start()
    return all(await asyncio.gather(*(each.wait_until_ready() for each in gateways)))
