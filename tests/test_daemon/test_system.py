"""Tests of several instances over sockets, with faults in the middle."""

from __future__ import annotations

import asyncio

import pytest
from daemon_fakes import wait_until
from system_rig import run_system

from savorychute.client import CallError, ChatCall, ServiceCall, open_client
from savorychute.ran import Ran
from savorychute.testing.answers import write_answer

PROMPT = 'why is there no water? #tokens=60'
CHAT = ChatCall('model', ({'role': 'user', 'content': PROMPT},), 'diagnosis')
VISIT = ServiceCall(
    'desk', 'POST', '/visits', 'visit-log', b'{"visit":7}', idempotent=False
)


def test_faults_in_the_middle_of_requests():
    """Crashes of instances and engines.

    One system, one fault after the other.  A stream's instance crashes; a
    stream's engine crashes; an instance crashes while a visit is being logged.
    Callers see whole answers or an honest 'unknown', and nothing runs twice.
    """

    async def main():
        async with (
            run_system() as system,
            open_client(system.client_settings) as client,
        ):
            await stream_over_a_crash_of_its_instance(system, client)
            await log_visit_over_a_crash_of_its_instance(system, client)
            await stream_over_a_crash_of_its_engine(system, client)

    asyncio.run(main())


async def read_stream(client, on_token):
    text = ''
    async for tokens in client.stream(CHAT):
        text += tokens.text
        await on_token(tokens.offset)
    return text


async def stream_over_a_crash_of_its_instance(system, client):
    generated = sum(each.engine.generated_tokens for each in system.engines)

    async def crash_at_the_tenth(offset):
        if offset == 10:
            await system.crash(system.find_carrier())

    text = await read_stream(client, crash_at_the_tenth)

    assert text == write_answer(PROMPT, 0)
    generated_now = sum(each.engine.generated_tokens for each in system.engines)
    assert generated_now - generated == 60


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
