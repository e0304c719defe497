"""Tests of the memory that requests take after their end."""

from __future__ import annotations

import asyncio
import gc
from contextlib import contextmanager

import pytest
from fleet_fixture import run_fleet

from savorychute.http.http_request import HttpRequest
from savorychute.testing.virtual_loop import run_virtual

BODY = b'x' * 300_000
TEST_S = 60
CALLS = 5
PLAIN = {'path': '/a/1'}
UNSAFE = {'path': '/p/1'}
STREAM = {'path': '/s/1'}
# A stream that nobody knows, so that it cannot be taken up.
UNKNOWN_STREAM = STREAM | {'extra': (('last-event-id', '3'),)}


@contextmanager
def without_collector():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def count_held_requests():
    return sum(
        len(each.body) == len(BODY)
        for each in gc.get_objects()
        if type(each) is HttpRequest
    )


async def cancel_all(calls):
    """Cancel tasks and forget them, as a cancelled one refers to all that it used."""
    while calls:
        call = calls.pop()
        call.cancel()
        await asyncio.wait([call])


@pytest.mark.parametrize(
    'call, statuses',
    [
        (PLAIN, {200}),
        (UNSAFE, {200}),
        (STREAM, {200}),
        (UNKNOWN_STREAM, {503}),
    ],
)
def test_ended_requests_hold_no_bodies(call, statuses):
    """Guards against bodies that wait for the garbage collector."""

    async def main():
        async with asyncio.timeout(TEST_S), run_fleet() as fleet:
            with without_collector():
                seen = set()
                for _ in range(CALLS):
                    response = await fleet.call(method='POST', body=BODY, **call)
                    seen.add(response.status)
                await asyncio.sleep(1)
                return seen, count_held_requests()

    assert run_virtual(main()) == (statuses, 0)


def test_requests_of_callers_that_left_hold_no_bodies():
    """Guards against bodies of callers that left before their response."""

    async def main():
        async with asyncio.timeout(TEST_S), run_fleet() as fleet:
            hold = fleet.endpoints['d1'].hold = asyncio.Event()
            with without_collector():
                calls = [
                    asyncio.create_task(
                        fleet.call(method='POST', body=BODY, path='/a/1')
                    )
                    for _ in range(CALLS)
                ]
                await asyncio.sleep(1)
                during = count_held_requests()
                await cancel_all(calls)
                # What the caller and the endpoint hold themselves does not count.
                hold.set()
                await asyncio.sleep(1)
                return during >= CALLS, count_held_requests()

    assert run_virtual(main()) == (True, 0)
