"""Key keepers that exchange messages by hand."""

from __future__ import annotations

import random

from savorychute.actions import ReadRecords, SendPeer
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.requests import KeyKeeper, KeySettings


def make_address(instance: str, incarnation: int = 1) -> MemberAddress:
    domain = f'domain-{instance}'
    port = 1_000 + sum(instance.encode())
    return MemberAddress(
        instance, incarnation, 'region', domain, '127.0.0.1', port, port + 1
    )


class KeyScene:
    """Instances ``a``, ``b``, ``c``; messages wait in ``mail`` until delivered."""

    ignores_log = True

    def __init__(self, settings: KeySettings | None = None) -> None:
        self.settings = settings or KeySettings()
        self.now_ms = 1_000
        self.mail = []
        self.keepers = {}
        self.addresses = {}
        self.suspects = frozenset()
        for instance in 'abc':
            self.start(instance, 1)

    def start(self, instance: str, incarnation: int) -> None:
        """Start an incarnation of an instance, with empty memory."""
        address = make_address(instance, incarnation)
        rng = random.Random(f'{instance}{incarnation}')
        self.addresses[instance] = address
        self.keepers[instance] = KeyKeeper(self.settings, address, rng)

    def crash(self, instance: str) -> None:
        """Lose an instance."""
        del self.keepers[instance]
        del self.addresses[instance]

    def view(self, own: str) -> MemberView:
        """Return the members as the scene knows them."""
        alive = tuple(sorted(self.addresses.values()))
        return MemberView(self.addresses[own], alive, self.suspects)

    def issue(self, instance: str) -> str:
        """Issue a key at an instance."""
        keeper = self.keepers[instance]
        return keeper.issuer.issue(self.view(instance), self.now_ms)

    def admit(self, instance, request_id, key, fingerprint='f'):
        """Bring a request with a key to an instance."""
        keeper = self.keepers[instance]
        view = self.view(instance)
        results = keeper.admit(request_id, key, fingerprint, view, self.now_ms)
        return self.collect(instance, results)

    def announce(self, instance, request_id, stream_id='s'):
        """Ask an instance for permission to send a request."""
        keeper = self.keepers[instance]
        view = self.view(instance)
        results = keeper.announce_start(request_id, 'e', stream_id, view, self.now_ms)
        return self.collect(instance, results)

    def tick(self, instance):
        """Let an instance see the time."""
        results = self.keepers[instance].tick(self.view(instance), self.now_ms)
        return self.collect(instance, results)

    def deliver(self):
        """Deliver all mail and return the outcomes that it caused."""
        outcomes = []
        while self.mail:
            sender, action = self.mail.pop(0)
            keeper = self.keepers.get(action.instance)
            if keeper is None:
                continue
            view = self.view(action.instance)
            results = keeper.receive(sender, action.message, view, self.now_ms)
            outcomes += self.collect(action.instance, results)
        return outcomes

    def collect(self, instance, results):
        """Put messages into the mail and return the other results."""
        outcomes = []
        for result in results:
            if isinstance(result, SendPeer):
                self.mail.append((instance, result))
            elif not (self.ignores_log and isinstance(result, ReadRecords)):
                outcomes.append(result)
        return outcomes
