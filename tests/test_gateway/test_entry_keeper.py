"""Tests of the entry that follows what its run needs."""

from __future__ import annotations

import asyncio
import random

import pytest
from gateway_fakes import make_telemetry
from memory_topic import OWN, MemoryTopic, ignore_call

from savorychute.clock import MS_PER_S
from savorychute.gateway.daemon.entry_keeper import EntryKeeper
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


class Scene:
    """A keeper over a topic, after its first entry."""

    def __init__(self):
        clock = LoopClock()
        self.topic = DownTopic()
        self.allowance = RetryAllowance(BOUNDS, clock.now_ms())
        self.keeper = EntryKeeper(
            Registration(self.topic, OWN, ignore_call),
            self.allowance,
            clock,
            random.Random(1),
            make_telemetry(clock),
        )

    async def settle(self, seconds):
        """Let time pass, and follow what is needed as a tick does."""
        for _ in range(round(10 * seconds)):
            self.keeper.follow_cap()
            await asyncio.sleep(0.1)

    def spend(self):
        now_ms = round(asyncio.get_running_loop().time() * MS_PER_S)
        return self.allowance.try_spend('pool', now_ms).granted

    def stated(self):
        newest = {record.key: record for record in self.topic.records}
        return decode_listing(newest.values()).find(OWN.instance).repeats


@pytest.fixture
def play():
    """Return what runs a scenario after a window in which the run has waited."""

    def run(scenario):
        async def main():
            scene = Scene()
            await scene.keeper.register()
            scene.keeper.take_listing(
                scene.keeper.registration.listing, MemberView(OWN, (OWN,))
            )
            await scene.settle(11)
            return await scenario(scene)

        return run_virtual(main())

    return run


def test_cap_is_raised_when_the_store_is_back(play):
    """Guards against repeats that are withheld for good after an outage of the store."""

    async def scenario(scene):
        scene.topic.down = True
        first = sum(scene.spend() for _ in range(9))
        await scene.settle(2)
        during = scene.spend()
        scene.topic.down = False
        await scene.settle(1)
        return first, during, scene.spend(), scene.stated()

    assert play(scenario) == (INITIAL_RETRIES, False, True, 32)


def test_needed_cap_is_stated_without_waiting_for_a_tick(play):
    """Guards against second repeats that come before the next tick and are withheld."""

    async def scenario(scene):
        scene.spend()
        scene.spend()
        await asyncio.sleep(0.001)
        return scene.spend()

    assert play(scenario)


def test_instances_that_are_met_share_the_slack(play):
    async def scenario(scene):
        others = [OWN._replace(instance=f'k{number}') for number in range(4)]
        scene.keeper.follow_members(MemberView(OWN, tuple(others)))
        return scene.allowance.instances

    assert play(scenario) == 4
