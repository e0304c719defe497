"""Tests of connections that a pool keeps for the next call."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from pool_rig import GET, OK, answer_all, raw_server, read_head

from savorychute.clock import ManualClock, SystemClock
from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.http.timed_call import fetch


class Recorder:
    """A handler that may refuse to send."""

    def __init__(self, wanted):
        self.wanted = wanted
        self.events = []

    def about_to_send(self):
        """Note the question and answer it."""
        self.events.append('about-to-send')
        return self.wanted

    def response_started(self, status, _headers):
        """Note the status."""
        self.events.append(status)

    def response_data(self, data):
        """Note the part."""
        self.events.append(data)

    def response_ended(self):
        """Note the end."""
        self.events.append('ended')

    def call_failed(self, failure):
        """Note the failure."""
        self.events.append(failure)


def test_connection_is_reused_until_it_was_idle_too_long():
    clock = ManualClock()
    numbers = []

    async def main():
        async with raw_server(answer_all(numbers)) as address:
            with open_pool(PoolSettings(idle_ms=1_000), clock) as pool:
                await fetch(pool, address, GET, 5_000)
                await fetch(pool, address, GET, 5_000)
                clock.advance_to(1_001)
                await fetch(pool, address, GET, 5_000)

    asyncio.run(main())

    assert numbers == [0, 0, 1]


def test_reused_connection_closed_before_any_response_counts_as_sent():
    """Keep-alive race.

    A service closes an idle connection at the very moment at which it is used
    again.  The bytes have left, so the service may have run the request; a
    silent second try on a fresh connection would book a visit twice.
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


def test_kept_connection_that_is_already_closed_is_replaced():
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
        async with raw_server(answer_all(numbers)) as address:
            with open_pool(PoolSettings(), SystemClock()) as pool:
                unwanted = Recorder(False)
                pool.submit(address, GET, unwanted)
                async with asyncio.timeout(10):
                    while not unwanted.events:
                        await asyncio.sleep(0.002)
                await fetch(pool, address, GET, 5_000)
                return unwanted.events, pool.open_connections

    events, connections = asyncio.run(main())

    assert events == ['about-to-send']
    assert (numbers, connections) == ([0], 1)


def test_ended_call_has_no_hold_on_its_connection():
    """Slow reader of a last part.

    A call's response has ended and its connection carries the next call.  A
    pause that comes late for the first one stopped the reading of the second
    one's answer, until it timed out; a late cancel would have cut it.
    """
    numbers = []

    async def main():
        async with raw_server(answer_all(numbers)) as address:
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


def test_idle_connections_do_not_keep_out_calls():
    """Many servers, few connections.

    Connections to servers that were used lately stay open for reuse.  With the
    bound reached, a call to another server failed, though nothing was going on.
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
            answers = [await fetch(pool, each, GET, 5_000) for each in servers * 2]
            return answers, pool.open_connections

    answers, connections = asyncio.run(main())

    assert [answer.body for answer in answers] == [b'ok'] * 10
    assert connections == 2


def test_idle_connections_are_closed_in_time():
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


def test_connection_is_given_up_before_the_server_closes_it():
    """A request on a connection that the server was just closing.

    The server says how long it keeps idle connections; reused at the very end of that
    time, the request is reset and nobody knows whether it ran.
    """
    seen = []

    async def keep_briefly(reader, writer, number):
        while True:
            await read_head(reader)
            seen.append(number)
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n')
            writer.write(b'keep-alive: timeout=2, max=9\r\n\r\n')

    async def main():
        clock = ManualClock()
        async with raw_server(keep_briefly) as address:
            with open_pool(PoolSettings(), clock) as pool:
                for now_ms in (0, 900, 2_500):
                    clock.advance_to(now_ms)
                    await fetch(pool, address, GET, 5_000)

    asyncio.run(main())
    assert seen == [0, 0, 1]
