"""Tests of the stand-ins over real sockets."""

from __future__ import annotations

import asyncio
import json
from random import Random

from savorychute.testing.answers import write_answer
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_server import serve_engine
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log
from savorychute.testing.plain_service import PlainService, ServiceSettings
from savorychute.testing.service_server import serve_service

PROMPT = '#tokens=12 rust'


async def call(port, method, path, document=None, headers=()):
    """Send one request on a new connection; return status, head and body."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    body = b'' if document is None else json.dumps(document).encode()
    lines = [f'{method} {path} HTTP/1.1', 'host: x', 'connection: close']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'content-length: {len(body)}', '', '']
    writer.write('\r\n'.join(lines).encode() + body)
    response = await reader.read()
    writer.close()
    head, _, response_body = response.partition(b'\r\n\r\n')
    return int(head.split()[1]), head.decode().lower(), response_body


def chat(stream):
    messages = [{'role': 'user', 'content': PROMPT}]
    return {'model': 'model', 'messages': messages, 'stream': stream}


def list_events(body):
    lines = [line for line in body.decode().splitlines() if line.startswith('data: ')]
    return [line.removeprefix('data: ') for line in lines]


def join_text(body):
    events = [json.loads(event) for event in list_events(body) if event != '[DONE]']
    return ''.join(event['choices'][0]['delta']['content'] for event in events)


def test_engine_answers_streamed_and_unstreamed_requests():
    async def run():
        async with serve_engine(ModelEngine(EngineSettings(), Random(1))) as server:
            path = '/v1/chat/completions'
            headers = [('x-stream-id', 's7'), ('x-keep-on-close', '1')]
            streamed = await call(server.port, 'POST', path, chat(True), headers)
            whole = await call(server.port, 'POST', path, chat(False))
            resume = '/v1/streams/s7/resume'
            resumed = await call(server.port, 'POST', resume, {'offset': 10})
            unknown = await call(
                server.port, 'POST', '/v1/streams/no/resume', {'offset': 0}
            )
            load = await call(server.port, 'GET', '/v1/load?cursor=0')
            return streamed, whole, resumed, unknown, load

    streamed, whole, resumed, unknown, load = asyncio.run(run())
    answer = write_answer(PROMPT, 0)
    assert streamed[0] == 200
    assert 'x-stream-id: s7' in streamed[1]
    assert join_text(streamed[2]) == answer
    assert list_events(streamed[2])[-1] == '[DONE]'
    document = json.loads(whole[2])
    assert document['choices'][0]['message']['content'] == answer
    assert document['usage']['completion_tokens'] == 12
    assert answer.endswith(join_text(resumed[2]))
    assert unknown[0] == 404
    assert json.loads(load[2])['state'] == 'active'


def test_refusal_states_that_nothing_ran():
    async def run():
        engine = ModelEngine(EngineSettings(), Random(1))
        engine.leaving = True
        async with serve_engine(engine) as server:
            return await call(server.port, 'POST', '/v1/chat/completions', chat(True))

    status, head, _ = asyncio.run(run())
    assert status == 503
    assert 'x-not-started: 1' in head
    assert 'x-leaving: 1' in head


def test_crash_interrupts_the_answer():
    async def run():
        async with serve_engine(ModelEngine(EngineSettings(), Random(1))) as server:
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, server.crash)
            document = chat(True)
            document['messages'][0]['content'] = '#tokens=4000'
            reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
            body = json.dumps(document).encode()
            head = f'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
            try:
                response = await reader.read()
            except ConnectionResetError:
                response = b''
            writer.close()
            return response

    assert b'[DONE]' not in asyncio.run(run())


def test_service_log_and_list_are_served_over_http():
    async def run():
        log = AppendLog(LogSettings(), Random(1))
        service = PlainService(ServiceSettings(service_ms=1))
        async with (
            serve_log(log) as log_server,
            serve_list(InstanceList(lag_ms=0)) as list_server,
            serve_service(service) as service_server,
        ):
            appended = await call(
                log_server.port, 'POST', '/streams/a/records', {'x': 1}
            )
            read = await call(log_server.port, 'GET', '/streams/a/records?from=0&max=5')
            entry = {
                'instance': 'i1',
                'incarnation': 1,
                'region': 'r',
                'failure_domain': 'd',
                'host': '127.0.0.1',
                'caller_port': 1,
                'peer_port': 2,
            }
            await call(list_server.port, 'PUT', '/instances/i1', entry)
            listed = await call(list_server.port, 'GET', '/instances')
            headers = [('x-attempt-id', 'a1')]
            served = await call(
                service_server.port, 'POST', '/visits', {'v': 1}, headers
            )
            return appended, read, listed, served, service.executions

    appended, read, listed, served, executions = asyncio.run(run())
    assert (appended[0], json.loads(appended[2])) == (201, {'offset': 0})
    assert json.loads(read[2])['records'][0]['payload_base64'] == 'eyJ4IjogMX0='
    assert json.loads(listed[2])['live'][0]['instance'] == 'i1'
    assert served[0] == 200
    assert executions == {'a1': 1}
