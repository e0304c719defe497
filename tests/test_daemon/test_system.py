"""Tests of several instances over sockets, with faults during requests."""

from __future__ import annotations

import asyncio

import pytest
from daemon_fakes import wait_until
from system_fixture import run_system, wait_for_response

from savorychute.client import CallError, ChatCall, ServiceCall, open_client
from savorychute.ran import Ran
from savorychute.testing.answers import write_answer

TEST_TIMEOUT_S = 60
TOKENS = 60
PROMPT = f'why is there no water? #tokens={TOKENS}'
CHAT = ChatCall('model', ({'role': 'user', 'content': PROMPT},), 'diagnosis')
SERVICE_CALL = ServiceCall(
    'desk', 'POST', '/visits', 'visit-log', b'{"visit":7}', idempotent=False
)


def test_faults_in_the_middle_of_requests():
    """Guard against lost or duplicate work when instances or engines fail.

    The faults happen one after the other in one system: the instance of a stream is
    replaced, another one crashes during a stream, a third one during a service call,
    and at last the engine of a stream crashes.  Callers get complete responses or
    'unknown', and nothing runs twice.
    """

    async def main():
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            run_system() as system,
            open_client(system.client_settings) as client,
        ):
            await check_stream_when_its_instance_is_replaced(system, client)
            await check_stream_when_its_instance_crashes(system, client)
            await check_service_call_when_its_instance_crashes(system, client)
            await check_stream_when_its_engine_crashes(system, client)

    asyncio.run(main())


def count_generated_tokens(system):
    return sum(each.engine.generated_tokens for each in system.engines)


async def read_stream(client, on_token):
    text = ''
    async for tokens in client.stream(CHAT):
        text += tokens.text
        await on_token(tokens.offset)
    return text


async def check_stream_when_its_instance_is_replaced(system, client):
    leaving = []

    async def drain_at_token_10(offset):
        if offset == 10:
            name = system.find_busy_instance()
            leaving.append(name)
            leaving.append(asyncio.create_task(system.drain(name)))
            response = await client.complete(CHAT)
            assert not response.request_id.startswith(f'{name}-')

    generated = count_generated_tokens(system)
    text = await read_stream(client, drain_at_token_10)
    async with asyncio.timeout(10):
        await leaving[1]

    assert text == write_answer(PROMPT, 0)
    assert count_generated_tokens(system) - generated == 2 * TOKENS
    await system.start('entry-7', 'kochi-hall')
    port = system.hosts['entry-7'].address.caller_port
    await wait_for_response(port, {'model': 'model', 'messages': CHAT.messages})


async def check_stream_when_its_instance_crashes(system, client):
    generated = count_generated_tokens(system)

    async def crash_at_token_10(offset):
        if offset == 10:
            await system.crash(system.find_busy_instance())

    text = await read_stream(client, crash_at_token_10)

    assert text == write_answer(PROMPT, 0)
    assert count_generated_tokens(system) - generated == TOKENS


async def check_service_call_when_its_instance_crashes(system, client):
    running = asyncio.create_task(client.call_service(SERVICE_CALL))
    await wait_until(lambda: system.service.executions)
    await system.crash(system.find_busy_instance())

    with pytest.raises(CallError) as raised:
        await running

    assert raised.value.ran is Ran.UNKNOWN
    assert system.service.bodies_executed == {b'{"visit":7}': 1}


async def check_stream_when_its_engine_crashes(system, client):
    async def crash_at_token_10(offset):
        if offset == 10:
            for server in system.engines:
                if server.engine.batch.running_count:
                    server.crash()

    text = await read_stream(client, crash_at_token_10)

    assert text == write_answer(PROMPT, 0)
