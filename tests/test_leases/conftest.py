"""Fixtures for the tests of leases."""

from __future__ import annotations

import random

import pytest

from benches.configuration_rig import FakeLog
from savorychute.actions.append_record import AppendRecord
from savorychute.actions.read_records import ReadRecords
from savorychute.leases.lease_manager import LeaseManager
from savorychute.leases.lease_settings import LeaseSettings


class Candidates:
    """Instances that compete for one lease, and a log that responds at once."""

    def __init__(self, names, settings):
        self.log = FakeLog()
        self.settings = settings
        self.managers = {}
        self.now_ms = 0
        self.paused = set()
        for number, name in enumerate(names):
            manager = LeaseManager(settings, name, random.Random(number))
            manager.want('placement')
            self.managers[name] = manager

    def perform(self, manager, actions):
        """Execute a manager's actions."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, AppendRecord):
                finished = self.log.append(action)
                actions += manager.append_finished(finished, self.now_ms)
            elif isinstance(action, ReadRecords):
                read = self.log.read(action)
                actions += manager.records_read(read, self.now_ms)

    def run(self, duration_ms, step_ms=100):
        """Advance the clock, and check that there is at most one holder at any time."""
        for _ in range(0, duration_ms, step_ms):
            self.now_ms += step_ms
            for name, manager in self.managers.items():
                if name not in self.paused:
                    self.perform(manager, manager.tick(self.now_ms))
            assert len(self.holders()) <= 1

    def holders(self):
        """Return the instances that consider themselves holders of the lease."""
        return [
            name
            for name, manager in self.managers.items()
            if manager.holds('placement', self.now_ms) is not None
        ]

    def fencing_of(self, name):
        """Return the fencing number, or None if the lease is not held."""
        return self.managers[name].holds('placement', self.now_ms)


@pytest.fixture
def candidates():
    return Candidates(['a', 'b', 'c'], LeaseSettings())
