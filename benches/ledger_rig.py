"""Ledgers that exchange messages in one process, on a virtual clock."""

from __future__ import annotations

import heapq
import random

from savorychute.credits import CreditLedger, CreditSettings
from savorychute.credits.endpoint_group import hash_name
from savorychute.member_address import MemberAddress
from savorychute.membership import MemberView

TICK_MS = 50
DELAY_MS = 1
POOL = 'diagnosis'


def build_address(name, region='south'):
    """Return where an instance is."""
    domain = f'hall-{sum(name.encode()) % 3}'
    return MemberAddress(name, 1, region, domain, '127.0.0.1', 0, 0)


def build_endpoint(name, *, capacity=8, state='active', domain='hall-0', tokens=0):
    """Return an engine as operators enter it."""
    return {
        'endpoint': name,
        'dialect': 'plain',
        'host': '127.0.0.1',
        'port': 1,
        'region': 'south',
        'failure_domain': domain,
        'state': state,
        'concurrent_requests': capacity,
        'models': [POOL],
        'outstanding_tokens': tokens,
    }


def build_endpoints(count, **options):
    """Return engines over three failure domains."""
    names = [f'engine-{number}' for number in range(count)]
    return {
        name: build_endpoint(name, domain=f'hall-{number % 3}', **options)
        for number, name in enumerate(names)
    }


class LedgerRig:
    """Instances with views that a test sets, and links that it cuts."""

    def __init__(self, endpoints, seed=1, settings=None):
        self.settings = settings or CreditSettings()
        self.endpoints = endpoints
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.ledgers = {}
        self.views = {}
        self.cut = set()
        self.demand = {}
        self.sent = []
        self._wires = []
        self._count = 0

    def start(self, *names):
        """Start instances that all see each other."""
        for name in names:
            ledger = CreditLedger(self.settings, name, random.Random(self.rng.random()))
            ledger.set_endpoints(self.endpoints)
            self.ledgers[name] = ledger
            self.demand[name] = {}
        self.see_all()

    def stop(self, name):
        """Kill an instance; the others still see it."""
        del self.ledgers[name]

    def see(self, viewer, alive):
        """Set who is alive for one instance."""
        members = tuple(build_address(name) for name in sorted(alive))
        self.views[viewer] = MemberView(build_address(viewer), members)

    def see_all(self):
        """Let all see those that run."""
        for name in self.ledgers:
            self.see(name, self.ledgers)

    def run(self, duration_ms, each_step=None):
        """Let time pass, a millisecond a step."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            while self._wires and self._wires[0][0] <= self.now_ms:
                _, _, sender, receiver, message = heapq.heappop(self._wires)
                if receiver in self.ledgers:
                    actions = self.ledgers[receiver].receive(
                        sender, message, self.views[receiver], self.now_ms
                    )
                    self._post(receiver, actions)
            if self.now_ms % TICK_MS == 0:
                self._tick()
            if each_step is not None:
                each_step()

    def home(self):
        """Return the instance that the first one takes for the home."""
        first = next(iter(self.ledgers.values()))
        return next(iter(first._groups.holdings.values())).home

    def level(self, name):
        """Return what an instance may start now and what it runs, together."""
        ledger = self.ledgers[name]
        return self.available(name) + len(ledger._groups._uses)

    def available(self, name, tier=0):
        """Return how many requests an instance may start now."""
        ledger = self.ledgers[name]
        return sum(ledger.available(e, tier) for e in self.endpoints)

    def fill(self, name, tier, limit=10**6):
        """Start as much as an instance may, and return the attempts."""
        attempts = []
        for endpoint in self.endpoints:
            while len(attempts) < limit:
                attempt = f'{name}-{self._count}'
                self._count += 1
                ledger = self.ledgers[name]
                if not ledger.acquire(endpoint, attempt, tier, 1, self.now_ms):
                    break
                attempts.append(attempt)
        return attempts

    def promised(self):
        """Return the most that may run at each endpoint, by all instances."""
        totals = {}
        for ledger in self.ledgers.values():
            for endpoint in self.endpoints:
                holding = ledger._groups.holdings[ledger._groups.group_of(endpoint).key]
                in_use = holding.in_use.get(hash_name(endpoint), 0)
                level = in_use + ledger.available(endpoint, 0)
                totals[endpoint] = totals.get(endpoint, 0) + level
        return totals

    def end(self, name, attempts):
        """End attempts of an instance."""
        for attempt in attempts:
            self.ledgers[name].release(attempt, self.now_ms)

    def overcommit(self):
        """Return by how much the promises exceed the capacity, as a share."""
        capacity = sum(e['concurrent_requests'] for e in self.endpoints.values())
        return max(0, sum(self.promised().values()) - capacity) / capacity

    def _tick(self):
        for name, ledger in list(self.ledgers.items()):
            if self.demand[name]:
                ledger.set_demand(POOL, self.demand[name], self.now_ms)
            self._post(name, ledger.tick(self.views[name], self.now_ms))

    def _post(self, sender, actions):
        for action in actions:
            if (sender, action.instance) in self.cut:
                continue
            self._count += 1
            self.sent.append((self.now_ms, sender, action.instance, action.message))
            entry = (
                self.now_ms + DELAY_MS,
                self._count,
                sender,
                action.instance,
                action.message,
            )
            heapq.heappush(self._wires, entry)
