"""Tests of managing an instance's entry and its cap on retries."""

from __future__ import annotations

import asyncio
import random

import pytest
from gateway_fakes import make_telemetry
from memory_topic import OWN, MemoryTopic, ignore_call

from savorychute.clock import MS_PER_S
from savorychute.gateway.daemon.entry_manager import EntryManager
from savorychute.gateway.recovery.retry_allowance import RetryAllowance, RetryBounds
from savorychute.gateway.recovery.retry_cap import INITIAL_RETRIES
from savorychute.gateway.store.instance_entry import decode_listing
from savorychute.gateway.store.registration import Registration
from savorychute.gateway.store.store_errors import StoreUnavailableError
from savorychute.membership.member_view import MemberView
from savorychute.testing.virtual_loop import LoopClock, run_virtual

BOUNDS = RetryBounds(ratio=0.2, window_ms=10_000, slack=40)


class DownTopic(MemoryTopic):
    """A topic that refuses writes while it is down."""

    down = False

    async def write(self, key, value, expected_end=None, fence=None):
        if self.down:
            raise StoreUnavailableError('down')
        await super().write(key, value, expected_end, fence)


class EntryManagerFixture:
    """An entry manager on a topic in memory."""

    def __init__(self):
        clock = LoopClock()
        self.topic = DownTopic()
        self.allowance = RetryAllowance(BOUNDS, clock.now_ms())
        self.manager = EntryManager(
            Registration(self.topic, OWN, ignore_call),
            self.allowance,
            clock,
            random.Random(1),
            make_telemetry(clock),
        )

    async def advance(self, seconds):
        """Let time pass, and update the cap as each tick does."""
        for _ in range(round(10 * seconds)):
            self.manager.update_retry_cap()
            await asyncio.sleep(0.1)

    def try_retry(self):
        now_ms = round(asyncio.get_running_loop().time() * MS_PER_S)
        return self.allowance.try_spend('pool', now_ms).granted

    def read_stated_retries(self):
        newest = {record.key: record for record in self.topic.records}
        return decode_listing(newest.values()).find(OWN.instance).repeats


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario after a window without retries."""

    def run(scenario):
        async def main():
            entry_fixture = EntryManagerFixture()
            await entry_fixture.manager.register()
            entry_fixture.manager.apply_listing(
                entry_fixture.manager.registration.listing, MemberView(OWN, (OWN,))
            )
            await entry_fixture.advance(11)
            return await scenario(entry_fixture)

        return run_virtual(main())

    return run


def test_cap_is_raised_when_store_recovers(run_scenario):
    """Guards against retries that stay withheld after an outage of the store."""

    async def scenario(entry_fixture):
        entry_fixture.topic.down = True
        granted_before = sum(entry_fixture.try_retry() for _ in range(9))
        await entry_fixture.advance(2)
        granted_during = entry_fixture.try_retry()
        entry_fixture.topic.down = False
        await entry_fixture.advance(1)
        return (
            granted_before,
            granted_during,
            entry_fixture.try_retry(),
            entry_fixture.read_stated_retries(),
        )

    assert run_scenario(scenario) == (INITIAL_RETRIES, False, True, 32)


def test_needed_cap_is_written_before_next_tick(run_scenario):
    """Guards against withholding a second retry that comes before the next tick."""

    async def scenario(entry_fixture):
        entry_fixture.try_retry()
        entry_fixture.try_retry()
        await asyncio.sleep(0.001)
        return entry_fixture.try_retry()

    assert run_scenario(scenario)


def test_known_instances_share_slack(run_scenario):
    async def scenario(entry_fixture):
        others = [OWN._replace(instance=f'k{number}') for number in range(4)]
        entry_fixture.manager.set_members(MemberView(OWN, tuple(others)))
        return entry_fixture.allowance.instances

    assert run_scenario(scenario) == 4
