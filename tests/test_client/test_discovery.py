"""Tests of how a client discovers instances."""

from __future__ import annotations

import pytest
from client_fixture import (
    CHAT,
    SERVICE_CALL,
    FakeInstance,
    abort,
    redirect_to,
    refuse,
    respond,
    run,
)

from savorychute.client import (
    CallError,
)
from savorychute.clock import ManualClock
from savorychute.result_code import ResultCode


def test_discovery_response_is_reused_for_its_lifetime():
    instance = FakeInstance('i1', [respond])

    async def act(client):
        for _ in range(3):
            await client.complete(CHAT)

    run(act, instance)

    assert (instance.discoveries, len(instance.requests)) == (1, 3)
    assert instance.requests[0].header('authorization') == 'Bearer secret'
    assert instance.requests[0].header('x-request-class') == 'diagnosis'


def test_expired_discovery_response_is_refreshed():
    instance = FakeInstance('i1', [respond])
    instance.lifetime_ms = 0

    async def act(client):
        await client.complete(CHAT)
        await client.complete(CHAT)

    run(act, instance)

    assert instance.discoveries == 2


def test_addresses_are_refreshed_when_one_fails():
    """Guard against a client without any usable address.

    Within the lifetime of one discovery response, every instance in it is replaced,
    one after the other.  A client that only cached the response would have no
    address left at which to query for new ones.
    """
    first, second = FakeInstance('i1', [respond]), FakeInstance('i2', [respond])
    third = FakeInstance('i3', [respond])
    clock = ManualClock()

    async def act(client):
        first.peers = second.peers = [first, second]
        await client.complete(CHAT)
        first.script = [abort]
        first.peers = second.peers = [second, third]
        clock.advance_to(2_000)
        await client.complete(CHAT)
        clock.advance_to(4_000)
        await client.complete(CHAT)
        second.script = [abort]
        return await client.complete(CHAT)

    response = run(act, first, second, third, clock=clock)

    assert response.body == b'answer'
    assert len(third.requests) == 1


def test_call_moves_from_a_failing_instance_to_another():
    first, second = FakeInstance('i1', [abort]), FakeInstance('i2', [respond])

    response = run(lambda client: client.complete(CHAT), first, second)

    assert response.body == b'answer'
    assert len(first.requests) == 1


def test_call_moves_from_a_leaving_instance_to_another():
    first = FakeInstance(
        'i1', [refuse(ResultCode.SHUTTING_DOWN, retry_after_ms=60_000)]
    )
    second = FakeInstance('i2', [respond])

    assert run(lambda client: client.complete(CHAT), first, second).body == b'answer'


def test_redirect_is_followed():
    second = FakeInstance('i2', [respond])
    first = FakeInstance('i1', [redirect_to(second)])

    run(lambda client: client.call_service(SERVICE_CALL), first, second)

    assert second.requests[0].header('x-request-key') == 'i1-1'
    assert second.requests[0].target == '/v1/services/desk/visits'


def test_too_many_redirects_raise():
    instance = FakeInstance('i1', [])
    instance.script = [redirect_to(instance)]

    with pytest.raises(CallError, match='redirects'):
        run(lambda client: client.complete(CHAT), instance)
