"""Credit ledgers that exchange messages in one process on a virtual clock."""

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
    """Return the address of an instance."""
    domain = f'hall-{sum(name.encode()) % 3}'
    return MemberAddress(name, 1, region, domain, '127.0.0.1', 0, 0)


def build_endpoint(name, *, capacity=8, state='active', domain='hall-0', tokens=0):
    """Return the document of an engine."""
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
    """Return the documents of engines in three failure domains."""
    names = [f'engine-{number}' for number in range(count)]
    return {
        name: build_endpoint(name, domain=f'hall-{number % 3}', **options)
        for number, name in enumerate(names)
    }


class LedgerSimulation:
    """Instances whose member views and network links a test controls."""

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
        self._deliveries = []
        self._count = 0

    def start(self, *names):
        """Start instances; each has all running ones in its view."""
        for name in names:
            ledger = CreditLedger(self.settings, name, random.Random(self.rng.random()))
            ledger.set_endpoints(self.endpoints)
            self.ledgers[name] = ledger
            self.demand[name] = {}
        self.set_all_alive()

    def stop(self, name):
        """Kill an instance; it stays in the views of the others."""
        del self.ledgers[name]

    def set_alive(self, instance, alive):
        """Set the living members in the view of one instance."""
        members = tuple(build_address(name) for name in sorted(alive))
        self.views[instance] = MemberView(build_address(instance), members)

    def set_all_alive(self):
        """Set the view of every instance to all running instances."""
        for name in self.ledgers:
            self.set_alive(name, self.ledgers)

    def run(self, duration_ms, each_step=None):
        """Advance the clock in steps of 1 ms."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            while self._deliveries and self._deliveries[0][0] <= self.now_ms:
                _, _, sender, receiver, message = heapq.heappop(self._deliveries)
                if receiver in self.ledgers:
                    actions = self.ledgers[receiver].receive(
                        sender, message, self.views[receiver], self.now_ms
                    )
                    self._send(receiver, actions)
            if self.now_ms % TICK_MS == 0:
                self._tick()
            if each_step is not None:
                each_step()

    def home(self):
        """Return the home instance according to the first instance."""
        first = next(iter(self.ledgers.values()))
        return next(iter(first._groups.holdings.values())).home

    def entitlement(self, name):
        """Return the number of requests that an instance can start now or runs."""
        ledger = self.ledgers[name]
        return self.available(name) + len(ledger._groups._uses)

    def available(self, name, tier=0):
        """Return the number of requests that an instance can start now."""
        ledger = self.ledgers[name]
        return sum(ledger.available(e, tier) for e in self.endpoints)

    def start_requests(self, name, tier, limit=10**6):
        """Start as many requests as an instance can, and return the attempts."""
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

    def committed_by_endpoint(self):
        """Return by endpoint how many requests all instances run or can start."""
        totals = {}
        for ledger in self.ledgers.values():
            for endpoint in self.endpoints:
                holding = ledger._groups.holdings[ledger._groups.group_of(endpoint).key]
                in_use = holding.in_use.get(hash_name(endpoint), 0)
                committed = in_use + ledger.available(endpoint, 0)
                totals[endpoint] = totals.get(endpoint, 0) + committed
        return totals

    def release_all(self, name, attempts):
        """Release the credits of attempts of an instance."""
        for attempt in attempts:
            self.ledgers[name].release(attempt, self.now_ms)

    def overcommit_share(self):
        """Return by which share of the capacity the commitments exceed it."""
        capacity = sum(e['concurrent_requests'] for e in self.endpoints.values())
        return max(0, sum(self.committed_by_endpoint().values()) - capacity) / capacity

    def _tick(self):
        for name, ledger in list(self.ledgers.items()):
            if self.demand[name]:
                ledger.set_demand(POOL, self.demand[name], self.now_ms)
            self._send(name, ledger.tick(self.views[name], self.now_ms))

    def _send(self, sender, actions):
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
            heapq.heappush(self._deliveries, entry)
