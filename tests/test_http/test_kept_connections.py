"""Tests of connections that a pool keeps open for the next call."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from pool_fixture import GET, OK, raw_server, read_head, respond_to_all

from savorychute.clock import ManualClock, SystemClock
from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.http.timed_call import fetch


class Recorder:
    """A response handler that records events and can refuse to send."""

    def __init__(self, wanted):
        self.wanted = wanted
        self.events = []

    def about_to_send(self):
        """Record the call and return whether the request is wanted."""
        self.events.append('about-to-send')
        return self.wanted

    def response_started(self, status, _headers):
        """Record the status."""
        self.events.append(status)

    def response_data(self, data):
        """Record the part."""
        self.events.append(data)

    def response_ended(self):
        """Record the end."""
        self.events.append('ended')

    def call_failed(self, failure):
        """Record the failure."""
        self.events.append(failure)


def test_connection_is_reused_until_it_was_idle_too_long():
    clock = ManualClock()
    numbers = []

    async def main():
        async with raw_server(respond_to_all(numbers)) as address:
            with open_pool(PoolSettings(idle_ms=1_000), clock) as pool:
                await fetch(pool, address, GET, 5_000)
                await fetch(pool, address, GET, 5_000)
                clock.advance_to(1_001)
                await fetch(pool, address, GET, 5_000)

    asyncio.run(main())

    assert numbers == [0, 0, 1]


def test_call_knows_its_connection_and_how_many_calls_went_before():
    calls = []

    async def main():
        async with raw_server(respond_to_all([])) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                for last_event, unused in (
                    ('about-to-send', False),
                    ('ended', False),
                    ('ended', False),
                    ('ended', True),
                ):
                    recorder = Recorder(last_event == 'ended')
                    call = pool.submit(address, GET, recorder, unused=unused)
                    async with asyncio.timeout(5):
                        while last_event not in recorder.events:
                            await asyncio.sleep(0.001)
                    calls.append((call.connection_number, call.calls_before))

    asyncio.run(main())

    unsent, *sent = calls
    assert unsent == (0, 0)
    assert sent == [(1, 0), (1, 1), (2, 0)]


def test_reused_connection_closed_before_any_response_counts_as_sent():
    """Guard against duplicate execution in the keep-alive race.

    A service closes an idle connection at the moment of its reuse.  The bytes were
    sent, so the service may have run the request; an automatic retry on a new
    connection would run it twice.
    """
    numbers = []

    async def handle(reader, writer, number):
        await read_head(reader)
        numbers.append(number)
        writer.write(OK)
        await read_head(reader)
        numbers.append(number)

    async def main():
        async with raw_server(handle) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                first = await fetch(pool, address, GET, 5_000)
                return first, await fetch(pool, address, GET, 5_000)

    first, second = asyncio.run(main())

    assert first.status == 200
    assert (second.sent, second.broken) == (True, True)
    assert numbers == [0, 0]


def test_idle_connection_that_is_already_closed_is_replaced():
    numbers = []

    async def handle(reader, writer, number):
        await read_head(reader)
        numbers.append(number)
        writer.write(OK)

    async def main():
        async with raw_server(handle) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                await fetch(pool, address, GET, 5_000)
                async with asyncio.timeout(10):
                    while pool.open_connections:
                        await asyncio.sleep(0.002)
                return await fetch(pool, address, GET, 5_000)

    assert asyncio.run(main()).status == 200
    assert numbers == [0, 1]


def test_call_that_is_no_longer_wanted_sends_nothing_and_keeps_the_connection():
    numbers = []

    async def main():
        async with raw_server(respond_to_all(numbers)) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                rejecting = Recorder(False)
                pool.submit(address, GET, rejecting)
                async with asyncio.timeout(10):
                    while not rejecting.events:
                        await asyncio.sleep(0.002)
                await fetch(pool, address, GET, 5_000)
                return rejecting.events, pool.open_connections

    events, connections = asyncio.run(main())

    assert events == ['about-to-send']
    assert (numbers, connections) == ([0], 1)


def test_ended_call_does_not_affect_its_connection():
    """Guard against an ended call that affects the next call on its connection.

    The response of a call has ended and its connection carries the next call.  A
    late pause of the first call stopped the reading of the second response until
    it timed out; a late cancel would have aborted it.
    """
    numbers = []

    async def main():
        async with raw_server(respond_to_all(numbers)) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                first = Recorder(True)
                call = pool.submit(address, GET, first)
                async with asyncio.timeout(10):
                    while 'ended' not in first.events:
                        await asyncio.sleep(0.002)
                call.pause_reading()
                second = await fetch(pool, address, GET, 2_000)
                call.cancel()
                return second, await fetch(pool, address, GET, 2_000)

    second, third = asyncio.run(main())

    assert (second.body, third.body) == (b'ok', b'ok')
    assert numbers == [0, 0, 0]


def test_idle_connections_do_not_block_calls():
    """Guard against idle connections that use up the limit.

    Connections to recently used servers stay open for reuse.  When the limit was
    reached, a call to another server failed although all connections were idle.
    """

    async def handle(reader, writer, number):
        while await read_head(reader):
            writer.write(OK)

    async def main():
        settings = PoolSettings(connections=2)
        async with AsyncExitStack() as stack:
            enter = stack.enter_async_context
            servers = [await enter(raw_server(handle)) for _ in range(5)]
            pool = stack.enter_context(open_pool(settings, SystemClock()))
            responses = [await fetch(pool, each, GET, 5_000) for each in servers * 2]
            return responses, pool.open_connections

    responses, connections = asyncio.run(main())

    assert [response.body for response in responses] == [b'ok'] * 10
    assert connections == 2


def test_expired_idle_connections_are_closed():
    clock = ManualClock()

    async def handle(reader, writer, number):
        while await read_head(reader):
            writer.write(OK)

    async def main():
        async with AsyncExitStack() as stack:
            enter = stack.enter_async_context
            first = await enter(raw_server(handle))
            second = await enter(raw_server(handle))
            pool = stack.enter_context(open_pool(PoolSettings(idle_ms=100), clock))
            await fetch(pool, first, GET, 5_000)
            clock.advance_to(201)
            await fetch(pool, second, GET, 5_000)
            return pool.open_connections

    assert asyncio.run(main()) == 1


def test_connection_is_discarded_before_the_server_closes_it():
    """Guard against a request on a connection that the server is closing.

    The server states how long it keeps idle connections.  If a connection is reused at
    the end of that time, the request is reset and it is unknown whether it ran.
    """
    numbers = []

    async def respond_with_short_keep_alive(reader, writer, number):
        while True:
            await read_head(reader)
            numbers.append(number)
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n')
            writer.write(b'keep-alive: timeout=2, max=9\r\n\r\n')

    async def main():
        clock = ManualClock()
        async with raw_server(respond_with_short_keep_alive) as address:
            with open_pool(PoolSettings(), clock) as pool:
                for now_ms in (0, 900, 2_500):
                    clock.advance_to(now_ms)
                    await fetch(pool, address, GET, 5_000)

    asyncio.run(main())
    assert numbers == [0, 0, 1]
