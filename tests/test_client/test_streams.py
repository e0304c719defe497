"""Tests of truncated streams."""

from __future__ import annotations

import asyncio

import pytest
from client_fixture import CHAT, TEXTS, FakeInstance, read_text, run, stream

from savorychute.client import (
    CallError,
)
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import decode_handle


@pytest.mark.parametrize('end', ['abort', 'error', 'silent-end'])
def test_truncated_stream_is_resumed_at_the_missing_token(end):
    """Guard against missing or repeated tokens when an instance crashes.

    Two tokens have arrived when the stream ends.  The client resumes it at another
    instance with the handle, at the third token.
    """
    first = FakeInstance('i1', [stream(0, 2, end), stream(2, 5)])
    second = FakeInstance('i2', [stream(2, 5)])

    assert run(read_text, first, second) == ''.join(TEXTS)

    resumed = (first.requests + second.requests)[1]
    handle = decode_handle(resumed.header('x-continuation-handle'))
    assert (handle.stream_id, handle.offset) == ('s1', 2)


def test_repeated_tokens_are_dropped():
    first = FakeInstance('i1', [stream(0, 3, 'abort')])
    second = FakeInstance('i2', [stream(1, 5)])

    assert run(read_text, first, second) == ''.join(TEXTS)


def test_gap_in_a_stream_raises():
    instance = FakeInstance('i1', [stream(0, 2, 'abort'), stream(3, 5)])

    with pytest.raises(CallError, match='expected token 2'):
        run(read_text, instance, max_failures=1)


def test_stream_without_a_handle_is_not_retried_after_its_first_token():
    instance = FakeInstance('i1', [stream(0, 2, 'abort', handle='')])

    with pytest.raises(CallError) as raised:
        run(read_text, instance)

    assert raised.value.ran is Ran.UNKNOWN
    assert len(instance.requests) == 1


def test_reader_that_stops_early_cancels_the_stream():
    instance = FakeInstance('i1', [stream(0, 2, 'open')])
    left_events = []

    def keep_open(exchange):
        exchange.on_left = lambda: left_events.append(True)
        exchange.start(200, [('x-result-code', '0')])
        exchange.send(
            b'id: 0\ndata: {"choices":[{"delta":{"content":"a"}}],"token_count":1}\n\n'
        )

    instance.script = [keep_open]

    async def act(client):
        tokens = client.stream(CHAT)
        await anext(tokens)
        await tokens.aclose()
        async with asyncio.timeout(10):
            while not left_events:
                await asyncio.sleep(0.005)

    run(act, instance)

    assert left_events == [True]
