"""Tests of several instances over sockets, with faults in the middle."""

from __future__ import annotations

import asyncio

import pytest
from daemon_fakes import wait_until
from system_rig import run_system, wait_for_answer

from savorychute.client import CallError, ChatCall, ServiceCall, open_client
from savorychute.ran import Ran
from savorychute.testing.answers import write_answer

BOUND_S = 60
TOKENS = 60
PROMPT = f'why is there no water? #tokens={TOKENS}'
CHAT = ChatCall('model', ({'role': 'user', 'content': PROMPT},), 'diagnosis')
VISIT = ServiceCall(
    'desk', 'POST', '/visits', 'visit-log', b'{"visit":7}', idempotent=False
)


def test_faults_in_the_middle_of_requests():
    """Replacement and crashes of instances and engines.

    One system, one event after the other.  A stream's instance is replaced,
    another one crashes, a third while a visit is being logged, at last the
    engine of a stream.  Callers see whole answers or an honest 'unknown', and
    nothing runs twice.
    """

    async def main():
        async with (
            asyncio.timeout(BOUND_S),
            run_system() as system,
            open_client(system.client_settings) as client,
        ):
            await stream_over_the_replacement_of_its_instance(system, client)
            await stream_over_a_crash_of_its_instance(system, client)
            await log_visit_over_a_crash_of_its_instance(system, client)
            await stream_over_a_crash_of_its_engine(system, client)

    asyncio.run(main())


def count_generated(system):
    return sum(each.engine.generated_tokens for each in system.engines)


async def read_stream(client, on_token):
    text = ''
    async for tokens in client.stream(CHAT):
        text += tokens.text
        await on_token(tokens.offset)
    return text


async def stream_over_the_replacement_of_its_instance(system, client):
    leaving = []

    async def leave_at_the_tenth(offset):
        if offset == 10:
            name = system.find_carrier()
            leaving.append(name)
            leaving.append(asyncio.create_task(system.leave(name)))
            answer = await client.complete(CHAT)
            assert not answer.request_id.startswith(f'{name}-')

    generated = count_generated(system)
    text = await read_stream(client, leave_at_the_tenth)
    async with asyncio.timeout(10):
        await leaving[1]

    assert text == write_answer(PROMPT, 0)
    assert count_generated(system) - generated == 2 * TOKENS
    await system.start('entry-7', 'kochi-hall')
    port = system.hosts['entry-7'].address.caller_port
    await wait_for_answer(port, {'model': 'model', 'messages': CHAT.messages})


async def stream_over_a_crash_of_its_instance(system, client):
    generated = count_generated(system)

    async def crash_at_the_tenth(offset):
        if offset == 10:
            await system.crash(system.find_carrier())

    text = await read_stream(client, crash_at_the_tenth)

    assert text == write_answer(PROMPT, 0)
    assert count_generated(system) - generated == TOKENS


async def log_visit_over_a_crash_of_its_instance(system, client):
    running = asyncio.create_task(client.call_service(VISIT))
    await wait_until(lambda: system.service.executions)
    await system.crash(system.find_carrier())

    with pytest.raises(CallError) as caught:
        await running

    assert caught.value.ran is Ran.UNKNOWN
    assert system.service.bodies_executed == {b'{"visit":7}': 1}


async def stream_over_a_crash_of_its_engine(system, client):
    async def crash_at_the_tenth(offset):
        if offset == 10:
            for each in system.engines:
                if each.engine.batch.running_count:
                    each.crash()

    text = await read_stream(client, crash_at_the_tenth)

    assert text == write_answer(PROMPT, 0)
