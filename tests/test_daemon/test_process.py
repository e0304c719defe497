"""Tests of a daemon that runs as its own process."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import asynccontextmanager
from random import Random

from daemon_fakes import FakeServer, call, serve, wait_until
from system_fixture import (
    CALLER,
    configure,
    describe_engine,
    make_settings,
    send_request,
    wait_for_response,
)

from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_server import serve_engine
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log


class Daemon:
    """The process of a daemon and its log lines."""

    def __init__(self, process):
        self.process = process
        self.lines = []

    async def read_port(self):
        """Return the port for callers."""
        async for line in self.process.stdout:
            entry = json.loads(line)
            self.lines.append(entry)
            if entry['message_type'] == 'instance-started':
                return int(entry['address'].rpartition(':')[2])
        raise AssertionError((await self.process.stderr.read()).decode())


@asynccontextmanager
async def run_process(path, settings):
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'savorychute',
        'serve',
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield Daemon(process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def test_error_names_the_port_that_is_in_use(tmp_path):
    async def main():
        async with (
            serve(FakeServer(id)) as in_use,
            run_process(
                tmp_path / 'settings.json',
                {**make_settings(1, 1), 'caller_port': in_use.port},
            ) as daemon,
        ):
            errors = await daemon.process.stderr.read()
            return in_use.port, errors.decode(), await daemon.process.wait()

    port, errors, code = asyncio.run(main())

    assert errors == f'caller_port {port} of 127.0.0.1: Address already in use\n'
    assert code != 0


def test_process_responds_and_stops_without_truncating_a_stream(tmp_path):
    """Guard against streams that a restart of the instance truncates.

    Operators stop a running instance with SIGTERM while a response is streamed.
    The stream continues to its end, and the process exits with 0.
    """

    async def main():
        engine = ModelEngine(EngineSettings(step_ms=20.0), Random(1))
        log = AppendLog(LogSettings(latency_ms=1.0), Random(2))
        async with (
            serve_log(log) as log_server,
            serve_list(InstanceList(0.0)) as list_server,
            serve_engine(engine) as engine_server,
            run_process(
                tmp_path / 'settings.json',
                make_settings(log_server.port, list_server.port),
            ) as daemon,
        ):
            port = await daemon.read_port()
            await configure(port, describe_engine('engine', engine_server.port))
            content = '#tokens=100'
            document = {
                'model': 'model',
                'messages': [{'role': 'user', 'content': content}],
            }
            document_response = await wait_for_response(port, document)
            discovered = await send_request(port, 'GET', '/v1/instances', CALLER)
            metrics = await send_request(port, 'GET', '/metrics', {})
            async with call(port) as caller:
                body = json.dumps({**document, 'stream': True}).encode()
                caller.write_request('POST', '/v1/chat/completions', CALLER, body)
                await wait_until(lambda: engine.generated_tokens > 110)
                daemon.process.send_signal(signal.SIGTERM)
                streamed = await caller.read_response()
            async with asyncio.timeout(20):
                code = await daemon.process.wait()
            errors = await daemon.process.stderr.read()
            return port, discovered, metrics, document_response, streamed, code, errors

    port, discovered, metrics, document_response, streamed, code, errors = asyncio.run(
        main()
    )

    assert (code, errors) == (0, b'')
    assert json.loads(discovered.body)['instances'] == [
        {'host': '127.0.0.1', 'port': port, 'failure_domain': 'kochi-hall'}
    ]
    assert b'savorychute_requests_total' in metrics.body
    assert streamed.complete
    *events, end = streamed.body.strip().split(b'\n\n')
    assert end == b'data: [DONE]'
    chunks = [json.loads(event.split(b'data: ')[1]) for event in events]
    text = ''.join(chunk['choices'][0]['delta']['content'] for chunk in chunks)
    assert (
        text == json.loads(document_response.body)['choices'][0]['message']['content']
    )
    assert sum(chunk['token_count'] for chunk in chunks) == 100
