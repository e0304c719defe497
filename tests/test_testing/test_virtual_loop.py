"""Tests of the event loop with virtual time."""

from __future__ import annotations

import asyncio

import pytest

from savorychute.testing.virtual_loop import LoopClock, run_virtual

HOUR_S = 3_600
HOUR_MS = 3_600_000


def test_time_passes_only_in_waits():
    async def main():
        clock = LoopClock()
        started_ms = clock.now_ms()
        await asyncio.sleep(HOUR_S)
        return started_ms, clock.now_ms()

    assert run_virtual(main()) == (0, HOUR_MS)


def test_timers_fire_in_order():
    async def main():
        finished = []

        async def wait_and_record(delay_s):
            await asyncio.sleep(delay_s)
            finished.append(delay_s)

        await asyncio.gather(
            *(wait_and_record(delay_s) for delay_s in (30, 5, 700, 10))
        )
        return finished

    assert run_virtual(main()) == [5, 10, 30, 700]


def test_no_time_passes_while_bytes_are_in_transit():
    """Guards against a timeout that fires although the response was sent.

    A call over loopback has a timeout of an hour.  The time must not advance to it
    while bytes of the call wait in the kernel.
    """

    async def main():
        async def echo(reader, writer):
            writer.write(await reader.readline())
            writer.close()

        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, asyncio.timeout(HOUR_S):
            for _ in range(50):
                reader, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.write(b'hello\n')
                assert await reader.read() == b'hello\n'
                writer.close()
        return asyncio.get_running_loop().time()

    assert run_virtual(main()) < HOUR_S


def test_timeout_fires_without_a_real_wait():
    async def main():
        async with asyncio.timeout(HOUR_S):
            await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        run_virtual(main())
