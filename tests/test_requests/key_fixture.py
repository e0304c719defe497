"""Key managers whose messages are delivered explicitly."""

from __future__ import annotations

import random

from savorychute.actions import ReadRecords, SendPeer
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.requests import KeyManager, KeySettings


def make_address(instance: str, incarnation: int = 1) -> MemberAddress:
    domain = f'domain-{instance}'
    port = 1_000 + sum(instance.encode())
    return MemberAddress(
        instance, incarnation, 'region', domain, '127.0.0.1', port, port + 1
    )


class KeyFixture:
    """Instances ``a``, ``b``, ``c``; messages are ``in_flight`` until delivered."""

    ignores_log = True

    def __init__(self, settings: KeySettings | None = None) -> None:
        self.settings = settings or KeySettings()
        self.now_ms = 1_000
        self.in_flight = []
        self.managers = {}
        self.addresses = {}
        self.suspects = frozenset()
        for instance in 'abc':
            self.start(instance, 1)

    def start(self, instance: str, incarnation: int) -> None:
        """Start an incarnation of an instance without any state."""
        address = make_address(instance, incarnation)
        rng = random.Random(f'{instance}{incarnation}')
        self.addresses[instance] = address
        self.managers[instance] = KeyManager(self.settings, address, rng)

    def crash(self, instance: str) -> None:
        """Crash an instance."""
        del self.managers[instance]
        del self.addresses[instance]

    def view(self, own: str) -> MemberView:
        """Return the current member view of an instance."""
        alive = tuple(sorted(self.addresses.values()))
        return MemberView(self.addresses[own], alive, self.suspects)

    def issue(self, instance: str) -> str:
        """Issue a key at an instance."""
        manager = self.managers[instance]
        return manager.issuer.issue(self.view(instance), self.now_ms)

    def admit(self, instance, request_id, key, fingerprint='f'):
        """Send a request with a key to an instance."""
        manager = self.managers[instance]
        view = self.view(instance)
        results = manager.admit(request_id, key, fingerprint, view, self.now_ms)
        return self.process_results(instance, results)

    def announce(self, instance, request_id, stream_id='s'):
        """Request permission of an instance to send a request to an endpoint."""
        manager = self.managers[instance]
        view = self.view(instance)
        results = manager.announce_start(request_id, 'e', stream_id, view, self.now_ms)
        return self.process_results(instance, results)

    def tick(self, instance):
        """Tick an instance."""
        results = self.managers[instance].tick(self.view(instance), self.now_ms)
        return self.process_results(instance, results)

    def deliver(self):
        """Deliver all messages and return the resulting outcomes."""
        outcomes = []
        while self.in_flight:
            sender, action = self.in_flight.pop(0)
            manager = self.managers.get(action.instance)
            if manager is None:
                continue
            view = self.view(action.instance)
            results = manager.receive(sender, action.message, view, self.now_ms)
            outcomes += self.process_results(action.instance, results)
        return outcomes

    def process_results(self, instance, results):
        """Queue the messages to peers and return the other results."""
        outcomes = []
        for result in results:
            if isinstance(result, SendPeer):
                self.in_flight.append((instance, result))
            elif not (self.ignores_log and isinstance(result, ReadRecords)):
                outcomes.append(result)
        return outcomes
