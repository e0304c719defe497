"""A demo site that runs each daemon in a separate process."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import socket
import sys
import tempfile
from typing import TYPE_CHECKING, Any

from savorychute.demo.documents import REGION
from savorychute.demo.site import OPERATOR, Site
from savorychute.member_address import MemberAddress
from savorychute.testing.stand_in_http import LOOPBACK, loop_ms

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from pathlib import Path

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 120.0
MIN_DISCOVERY_LIFETIME_MS = 1_000
MAX_DISCOVERY_LIFETIME_MS = 2_000


class DaemonProcess:
    """The process and the address of a daemon.

    :param process: started by the site; signals are sent to its id only.
    :param address: the address that the daemon logged.
    """

    def __init__(self, process: Process, address: MemberAddress) -> None:
        self.process = process
        self.address = address
        self.reader: asyncio.Task[None] | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)


class ProcessSite(Site):
    """Starts each daemon with ``savorychute serve``.

    :param seed: seed of the stand-ins.
    :param directory: the directory for settings files.
    """

    def __init__(self, seed: int, directory: Path) -> None:
        super().__init__(seed)
        self.daemons: dict[str, DaemonProcess] = {}
        self.exit_codes: list[int] = []
        self._directory = directory

    async def start_instance(self, name: str, failure_domain: str) -> None:
        """Start a daemon and add it to the listing of the platform."""
        settings = self._write_settings(name, failure_domain)
        path = self._directory / f'{name}.jsonc'
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'savorychute',
            'serve',
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            incarnation = await _read_incarnation(process)
        address = MemberAddress(
            instance=name,
            incarnation=incarnation,
            region=REGION,
            failure_domain=failure_domain,
            host=LOOPBACK,
            caller_port=settings['caller_port'],
            peer_port=settings['peer_port'],
        )
        daemon = DaemonProcess(process, address)
        daemon.reader = asyncio.create_task(_discard_output(process))
        self.daemons[name] = daemon
        self.hosts[name] = daemon  # type: ignore[assignment]
        self.instance_list.put(address, loop_ms())

    async def stop_instance(self, name: str) -> None:
        """Stop a daemon gracefully and record its exit code."""
        daemon = self.daemons.pop(name)
        self.hosts.pop(name)
        self.instance_list.mark_leaving(name, loop_ms())
        daemon.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            self.exit_codes.append(await daemon.process.wait())
        self.instance_list.delete(name, loop_ms())

    async def kill_instance(self, name: str) -> None:
        """Kill a daemon."""
        daemon = self.daemons.pop(name)
        self.hosts.pop(name)
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
        self.instance_list.delete(name, loop_ms())

    async def pause_instance(self, name: str, pause_s: float) -> None:
        """Suspend the process of a daemon and resume it after the pause."""
        daemon = self.daemons[name]
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        daemon.signal(signal.SIGCONT)

    async def close(self) -> None:
        """Kill every daemon that this site started."""
        for name in list(self.daemons):
            await self.kill_instance(name)

    def _write_settings(self, name: str, failure_domain: str) -> dict[str, Any]:
        caller_port, peer_port = _find_free_ports()
        return {
            **self.base_settings(),
            'instance': name,
            'failure_domain': failure_domain,
            'caller_port': caller_port,
            'peer_port': peer_port,
        }

    def base_settings(self) -> dict[str, Any]:
        """Return the settings that all daemons share."""
        return {
            'region': REGION,
            'host': LOOPBACK,
            'log_address': f'{LOOPBACK}:{self._log_port}',
            'list_address': f'{LOOPBACK}:{self._list_port}',
            'operator_token_hashes': {OPERATOR: self.operator_hash()},
            'peer_keys': [{'key_id': 1, 'secret': self._peer_secret}],
            'leave_grace_ms': MAX_DISCOVERY_LIFETIME_MS,
            'discovery_min_lifetime_ms': MIN_DISCOVERY_LIFETIME_MS,
            'discovery_max_lifetime_ms': MAX_DISCOVERY_LIFETIME_MS,
        }

    def operator_hash(self) -> str:
        """Return the SHA-256 digest of the operator token."""
        return hashlib.sha256(self._operator_token.encode()).hexdigest()


def make_directory() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary directory for settings files."""
    return tempfile.TemporaryDirectory(prefix='savorychute-soak-')


async def _read_incarnation(process: Process) -> int:
    assert process.stdout is not None
    async for line in process.stdout:
        entry = json.loads(line)
        if entry.get('message_type') == 'instance-started':
            return int(entry['incarnation'])
    raise RuntimeError(f'the daemon ended with {await process.wait()}')


async def _discard_output(process: Process) -> None:
    """Read the log until it ends, so that the pipe never blocks the daemon."""
    assert process.stdout is not None
    async for _ in process.stdout:
        pass


def _find_free_ports() -> list[int]:
    """Return two free ports; the system assigns ephemeral ports in turn."""
    sockets = [socket.socket() for _ in range(2)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
