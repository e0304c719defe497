"""A daemon in a separate process, with lightweight callers and a simple engine."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
import tempfile
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = '127.0.0.1'
CALLER_TOKEN = 'caller'
OPERATOR_TOKEN = 'operator'
KB_PER_MB = 1_024
HEAD_END = b'\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
END_EVENT = b'data: [DONE]\n\n'
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'x-stream-id: s\r\ntransfer-encoding: chunked\r\n\r\n'
)


class EngineRate(NamedTuple):
    """The token rate of the engine; ``tokens`` is the length of each stream."""

    tokens: int
    gap_ms: float


class PacedEngine:
    """Writes one event for every open stream at each step.

    It replaces an engine whose own cost is not measured.
    """

    def __init__(self) -> None:
        self.rate = EngineRate(1, 0.0)
        self.port = 0
        self._streams: dict[asyncio.Transport, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Open a stream and send its first token at once."""
        transport.write(STREAM_HEAD)
        self._streams[transport] = 0
        self._write_event(transport)
        if self._timer is None:
            self._schedule()

    def close(self, transport: asyncio.Transport) -> None:
        """Remove a stream."""
        self._streams.pop(transport, None)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.rate.gap_ms / 1_000, self._write_events)

    def _write_events(self) -> None:
        self._timer = None
        for transport in tuple(self._streams):
            self._write_event(transport)
        if self._streams:
            self._schedule()

    def _write_event(self, transport: asyncio.Transport) -> None:
        number = self._streams[transport]
        data = (
            b'id: %d\ndata: {"choices":[{"index":0,"delta":{"content":" token"}}],'
            b'"token_count":1}\n\n' % number
        )
        number += 1
        if number < self.rate.tokens:
            self._streams[transport] = number
            transport.write(b'%x\r\n%b\r\n' % (len(data), data))
            return
        del self._streams[transport]
        data += END_EVENT
        transport.write(b'%x\r\n%b\r\n0\r\n\r\n' % (len(data), data))


class EngineProtocol(asyncio.Protocol):
    """Minimal HTTP: a completion opens a stream, other requests get 404."""

    def __init__(self, engine: PacedEngine) -> None:
        self._engine = engine
        self._buffer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Remove the stream of the connection."""
        self._engine.close(self._transport)

    def data_received(self, data: bytes) -> None:
        """Handle one complete request at a time."""
        self._buffer += data
        head, separator, body = self._buffer.partition(HEAD_END)
        if not separator:
            return
        body_bytes = 0
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                body_bytes = int(line.split(b':')[1])
        if len(body) < body_bytes:
            return
        self._buffer = body[body_bytes:]
        if b'/v1/chat/completions' in head.split(b'\r\n')[0]:
            self._engine.open(self._transport)
        else:
            self._transport.write(
                b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n'
            )


class StreamCaller(asyncio.Protocol):
    """Reads one stream; its futures report the first token and whether it was complete."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self._data = b''
        self.first_s = 0.0
        self.status = b''
        self.first = asyncio.get_running_loop().create_future()
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def send(self) -> None:
        """Send the request."""
        self.status = b''
        self._data = b''
        loop = asyncio.get_running_loop()
        self.first = loop.create_future()
        self.done = loop.create_future()
        self.transport.write(self._request)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Resolve the pending future."""
        if not self.done.done():
            self.done.set_result(False)

    def data_received(self, data: bytes) -> None:
        """Detect the first token and the end of the stream."""
        if not self.status:
            self.status = data[9:12]
        if not self.first.done() and b'token' in data:
            self.first.set_result(asyncio.get_running_loop().time())
        tail = self._data[-16:] + data
        self._data = tail[-32:]
        if self.status != b'200':
            self.done.set_result(False)
        elif tail.endswith(LAST_CHUNK) and b'[DONE]' in tail:
            self.done.set_result(True)


def encode_request(target: str = '/v1/chat/completions') -> bytes:
    """Return the request of a caller as bytes."""
    body = json.dumps(
        {
            'model': 'm',
            'messages': [{'role': 'user', 'content': 'a' * 400}],
            'stream': True,
        }
    ).encode()
    return (
        f'POST {target} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_TOKEN}\r\n'
        f'x-request-class: c\r\ncontent-length: {len(body)}\r\n\r\n'
    ).encode() + body


async def connect(port: int) -> StreamCaller:
    """Return a connected caller."""
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(
        lambda: StreamCaller(encode_request()), HOST, port
    )
    return caller


class DaemonProcess(NamedTuple):
    """The process id and the port of a daemon."""

    pid: int
    port: int

    def read_processor_s(self) -> float:
        """Return the user and system processor time used so far."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def read_memory_kb(self) -> int:
        """Return the resident memory in KiB."""
        for line in Path(f'/proc/{self.pid}/status').read_text().splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1])
        return 0


@asynccontextmanager
async def serve_engine() -> AsyncIterator[PacedEngine]:
    """Serve a paced engine until the block ends."""
    engine = PacedEngine()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineProtocol(engine), HOST, 0, backlog=2_048
    )
    engine.port = server.sockets[0].getsockname()[1]
    try:
        yield engine
    finally:
        server.close()


@asynccontextmanager
async def run_daemon_process(engine: PacedEngine) -> AsyncIterator[DaemonProcess]:
    """Run a configured daemon until the block ends."""
    log = AppendLog(LogSettings(latency_ms=1.0), Random(1))
    async with (
        serve_log(log) as log_server,
        serve_list(InstanceList(0.0)) as list_server,
    ):
        with tempfile.NamedTemporaryFile('w', suffix='.jsonc') as file:
            json.dump(_make_settings(log_server.port, list_server.port), file)
            file.flush()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'savorychute',
                'serve',
                file.name,
                stdout=asyncio.subprocess.PIPE,
            )
            log_reader = None
            try:
                port = await _read_port(process)
                log_reader = asyncio.create_task(_discard_output(process))
                await _configure(port, engine.port)
                yield DaemonProcess(process.pid, port)
            finally:
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
                if log_reader is not None:
                    await log_reader


def _make_settings(log_port: int, list_port: int) -> dict[str, object]:
    return {
        'instance': 'entry-1',
        'region': 'r',
        'failure_domain': 'd',
        'host': HOST,
        'caller_port': 0,
        'peer_port': 0,
        'log_address': f'{HOST}:{log_port}',
        'list_address': f'{HOST}:{list_port}',
        'peer_keys': [{'key_id': 1, 'secret': '00' * 16}],
        'operator_token_hashes': {
            'bench': hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        },
        'gap_timeout_ms': 600_000,
        'leave_grace_ms': 0,
    }


async def _read_port(process: asyncio.subprocess.Process) -> int:
    """Return the port for callers from the log of the process."""
    if process.stdout is None:
        raise RuntimeError('the daemon has no standard output')
    async for line in process.stdout:
        entry = json.loads(line)
        if entry['message_type'] == 'instance-started':
            return int(entry['address'].rpartition(':')[2])
    raise RuntimeError('the daemon ended before it logged its address')


async def _discard_output(process: asyncio.subprocess.Process) -> None:
    """Read the log until it ends, so that the pipe never blocks the process."""
    if process.stdout is not None:
        async for _ in process.stdout:
            pass


async def _configure(port: int, engine_port: int) -> None:
    contract = {
        'organisation': 'bench',
        'token_hashes': [hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()],
        'pool_share': 1.0,
        'requests_per_s': 100_000.0,
        'concurrent_requests': 100_000,
        'tokens_per_s': 100_000_000.0,
        'models': ['m'],
        'classes': [
            {
                'name': 'c',
                'tier': 0,
                'first_token_target_ms': 60_000,
                'token_gap_target_ms': 60_000,
                'timeout_ms': 600_000,
                'weight': 1.0,
                'idempotent': True,
            }
        ],
    }
    endpoint = {
        'endpoint': 'engine',
        'dialect': 'openai-engine',
        'host': HOST,
        'port': engine_port,
        'region': 'r',
        'failure_domain': 'd',
        'state': 'active',
        'concurrent_requests': 10_000,
        'outstanding_tokens': 100_000_000,
        'models': ['m'],
    }
    common_arguments = {'base_version': 0, 'why': 'bench'}
    await _send_command(
        port,
        'contract-amend',
        {**common_arguments, 'organisation': 'bench', 'document': contract},
    )
    await _send_command(
        port, 'endpoint-add', {**common_arguments, 'document': endpoint}
    )
    await _warm_up(port)


async def _send_command(port: int, verb: str, arguments: dict[str, object]) -> None:
    body = json.dumps(arguments).encode()
    head = (
        f'POST /v1/operator/{verb} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
        f'authorization: Bearer {OPERATOR_TOKEN}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    ).encode()
    async with asyncio.timeout(30):
        while True:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head + body)
            response = await reader.read()
            writer.close()
            if b' 200 ' in response[:16]:
                return
            await asyncio.sleep(0.1)


async def _warm_up(port: int) -> None:
    """Wait until a request to the daemon succeeds."""
    async with asyncio.timeout(30):
        caller = await connect(port)
        while True:
            caller.send()
            if await caller.done:
                break
            await asyncio.sleep(0.1)
        caller.transport.close()
