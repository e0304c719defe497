"""Tests of calls that are cancelled before or while they are sent."""

from __future__ import annotations

import asyncio

import pytest
from pool_fixture import GET, raw_server, respond_to_all

from savorychute.clock import SystemClock
from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.http.connector import DirectConnector
from savorychute.http.timed_call import fetch

CONNECT_STEPS = 10
MAX_STEPS = 30
QUIET_S = 0.02


class SlowConnector(DirectConnector):
    """Returns a connection some steps of the event loop after it was opened."""

    async def open(self, address, make_connection):
        connection = await super().open(address, make_connection)
        for _ in range(CONNECT_STEPS):
            await asyncio.sleep(0)
        return connection


class Listener:
    """Wants its call to be sent, and ignores the response."""

    def about_to_send(self):
        return True

    def response_started(self, status, headers):
        pass

    def response_data(self, data):
        pass

    def response_ended(self):
        pass

    def call_failed(self, failure):
        raise AssertionError(failure)


async def cancel_after(steps, has_idle):
    """Cancel a call; return whether it had been sent, and whether it arrived."""
    arrived = []
    async with raw_server(respond_to_all(arrived)) as address:
        with open_pool(PoolSettings(), SystemClock(), SlowConnector()) as pool:
            if has_idle:
                await fetch(pool, address, GET, 5_000)
                arrived.clear()
            call = pool.submit(address, GET, Listener())
            for _ in range(steps):
                await asyncio.sleep(0)
            call.cancel()
            was_sent = call.sent
            await asyncio.sleep(QUIET_S)
            return was_sent, bool(arrived)


@pytest.mark.parametrize('has_idle', [False, True])
def test_cancelled_call_that_was_not_sent_never_arrives(has_idle):
    """Guards against requests that reach an endpoint after their refusal."""

    async def main():
        return {await cancel_after(steps, has_idle) for steps in range(MAX_STEPS)}

    outcomes = asyncio.run(main())

    assert {(False, False), (True, True)} <= outcomes
    assert (False, True) not in outcomes
