"""Tests of the log of the platform's store, against a stand-in."""

from __future__ import annotations

import asyncio

import pytest
from fleet.store_log import StoreLog
from store_stand_in import run_store

from savorychute.gateway.store.store_access import StoreAccess
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.store_errors import StoreUnavailableError
from savorychute.http.client_pool import PoolSettings, ServerAddress, open_pool
from savorychute.testing.stand_in_http import LOOPBACK
from savorychute.testing.virtual_loop import LoopClock, run_virtual

TEST_S = 30
TIMEOUT_MS = 300


def run_with_log(scenario):
    """Run a scenario with a store and its log."""

    async def main():
        with open_pool(PoolSettings(), LoopClock()) as pool:
            async with asyncio.timeout(TEST_S), run_store() as store:
                address = ServerAddress(LOOPBACK, store.port)
                access = StoreAccess(pool, address, TIMEOUT_MS, StoreEra())
                return await scenario(store, StoreLog('streams-1', access))

    return run_virtual(main())


def test_records_are_read_from_an_offset_on():
    async def scenario(store, log):
        del store
        offsets = [await log.append(record) for record in (b'a', b'', b'\xffbc')]
        return offsets, await log.read_from(1), await log.read_from(3)

    offsets, read, empty = run_with_log(scenario)

    assert offsets == [0, 1, 2]
    assert (read.records, read.next_offset, read.end) == ((b'', b'\xffbc'), 3, 3)
    assert (empty.records, empty.next_offset) == ((), 3)


def test_reading_begins_with_the_first_record_that_is_kept():
    async def scenario(store, log):
        del store
        for number in range(5):
            await log.append(str(number).encode())
        await log.trim(3)
        return await log.read_from(0)

    read = run_with_log(scenario)
    assert (read.records, read.next_offset) == ((b'3', b'4'), 5)


def test_reading_continues_after_the_store_went_back():
    """Guards against an offset of a lost log that hides what is written now."""

    async def scenario(store, log):
        await asyncio.sleep(1)
        for number in range(5):
            await log.append(str(number).encode())
        store.go_back(0.5)
        await log.append(b'new')
        return await log.read_from(5)

    read = run_with_log(scenario)
    assert (read.records, read.next_offset, read.era) == ((b'new',), 1, 2)


@pytest.mark.parametrize('mode', ['busy', 'silent'])
def test_failure_of_the_store_is_reported(mode):
    async def scenario(store, log):
        store.mode = mode
        with pytest.raises(StoreUnavailableError):
            await log.append(b'a')
        with pytest.raises(StoreUnavailableError):
            await log.read_from(0)

    run_with_log(scenario)
