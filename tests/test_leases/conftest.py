"""Fixtures of the leases' tests."""

from __future__ import annotations

import random

import pytest

from benches.configuration_rig import FakeLog
from savorychute.actions.append_record import AppendRecord
from savorychute.actions.read_records import ReadRecords
from savorychute.leases.lease_keeper import LeaseKeeper
from savorychute.leases.lease_settings import LeaseSettings


class Candidates:
    """Instances that want one lease, and a log that answers at once."""

    def __init__(self, names, settings):
        self.log = FakeLog()
        self.settings = settings
        self.keepers = {}
        self.now_ms = 0
        self.paused = set()
        for number, name in enumerate(names):
            keeper = LeaseKeeper(settings, name, random.Random(number))
            keeper.want('placement')
            self.keepers[name] = keeper

    def perform(self, keeper, actions):
        """Carry out a keeper's actions."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, AppendRecord):
                finished = self.log.append(action)
                actions += keeper.append_finished(finished, self.now_ms)
            elif isinstance(action, ReadRecords):
                read = self.log.read(action)
                actions += keeper.records_read(read, self.now_ms)

    def run(self, duration_ms, step_ms=100):
        """Advance the clock; nobody but one may hold at any time."""
        for _ in range(0, duration_ms, step_ms):
            self.now_ms += step_ms
            for name, keeper in self.keepers.items():
                if name not in self.paused:
                    self.perform(keeper, keeper.tick(self.now_ms))
            assert len(self.holders()) <= 1

    def holders(self):
        """Return who believes to hold the lease."""
        return [
            name
            for name, keeper in self.keepers.items()
            if keeper.holds('placement', self.now_ms) is not None
        ]

    def fencing_of(self, name):
        """Return the fencing number, None unless held."""
        return self.keepers[name].holds('placement', self.now_ms)


@pytest.fixture
def candidates():
    return Candidates(['a', 'b', 'c'], LeaseSettings())
