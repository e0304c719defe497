"""Tests of how a client finds instances."""

from __future__ import annotations

import pytest
from client_rig import CHAT, VISIT, Instance, answer, drop, redirect_to, refuse, run

from savorychute.client import (
    CallError,
)
from savorychute.clock import ManualClock
from savorychute.result_code import ResultCode


def test_discovery_is_kept_for_its_lifetime():
    instance = Instance('i1', [answer])

    async def act(client):
        for _ in range(3):
            await client.complete(CHAT)

    run(act, instance)

    assert (instance.discoveries, len(instance.requests)) == (1, 3)
    assert instance.requests[0].header('authorization') == 'Bearer secret'
    assert instance.requests[0].header('x-request-class') == 'diagnosis'


def test_discovery_that_has_run_out_is_asked_for_again():
    instance = Instance('i1', [answer])
    instance.lifetime_ms = 0

    async def act(client):
        await client.complete(CHAT)
        await client.complete(CHAT)

    run(act, instance)

    assert instance.discoveries == 2


def test_addresses_are_asked_for_again_when_one_fails():
    """All instances replaced.

    Within one lifetime of the answer every instance that it names is replaced,
    one after the other.  A client that kept the answer would be left with
    addresses at which nobody is, and no one to ask for new ones.
    """
    first, second = Instance('i1', [answer]), Instance('i2', [answer])
    third = Instance('i3', [answer])
    clock = ManualClock()

    async def act(client):
        first.peers = second.peers = [first, second]
        await client.complete(CHAT)
        first.script = [drop]
        first.peers = second.peers = [second, third]
        clock.advance_to(2_000)
        await client.complete(CHAT)
        clock.advance_to(4_000)
        await client.complete(CHAT)
        second.script = [drop]
        return await client.complete(CHAT)

    got = run(act, first, second, third, clock=clock)

    assert got.body == b'answer'
    assert len(third.requests) == 1


def test_instance_that_does_not_answer_is_left_for_another():
    first, second = Instance('i1', [drop]), Instance('i2', [answer])

    got = run(lambda client: client.complete(CHAT), first, second)

    assert got.body == b'answer'
    assert len(first.requests) == 1


def test_leaving_instance_is_left_for_another():
    first = Instance('i1', [refuse(ResultCode.SHUTTING_DOWN, retry_after_ms=60_000)])
    second = Instance('i2', [answer])

    assert run(lambda client: client.complete(CHAT), first, second).body == b'answer'


def test_redirect_is_followed():
    second = Instance('i2', [answer])
    first = Instance('i1', [redirect_to(second)])

    run(lambda client: client.call_service(VISIT), first, second)

    assert second.requests[0].header('x-request-key') == 'i1-1'
    assert second.requests[0].target == '/v1/services/desk/visits'


def test_redirects_without_end_raise():
    instance = Instance('i1', [])
    instance.script = [redirect_to(instance)]

    with pytest.raises(CallError, match='redirects'):
        run(lambda client: client.complete(CHAT), instance)
