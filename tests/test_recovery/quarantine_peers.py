"""Quarantines of several instances that exchange messages."""

from __future__ import annotations

import random

from savorychute.recovery import Quarantine, QuarantineSettings


class Peers:
    """Quarantines of several instances that exchange messages without delay."""

    def __init__(self, names, make_view):
        self.names = names
        self.views = {name: make_view(name, names) for name in names}
        self.quarantines = {
            name: Quarantine(QuarantineSettings(), name, random.Random(name))
            for name in names
        }

    def __getitem__(self, name):
        return self.quarantines[name]

    def tick(self, now_ms):
        """Tick all of them and deliver the messages that they send."""
        for name, quarantine in self.quarantines.items():
            self.deliver(name, quarantine.tick(self.views[name], now_ms), now_ms)

    def deliver(self, sender, actions, now_ms):
        """Deliver messages and the replies to them without delay."""
        for action in actions:
            receiver = self.quarantines[action.instance]
            replies = receiver.receive(sender, action.message, now_ms)
            self.deliver(action.instance, replies, now_ms)
