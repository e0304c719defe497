"""Limiters that exchange messages in one process on a virtual clock."""

from __future__ import annotations

import heapq
import random

from benches.ledger_rig import build_address
from savorychute.contracts.organisation_limits import OrganisationLimits
from savorychute.limits import LimitSettings, OrganisationLimiter
from savorychute.membership import MemberView

TICK_MS = 50
DELAY_MS = 1

#: Time that ticks and simulation steps add to the durations of the settings.
SLACK_MS = 100
ORGANISATION = 'kuttanad-pumps'

#: Short durations, so that a random history exercises all of them.
FAST = LimitSettings(
    grant_ms=400,
    floor_ms=4_000,
    detection_ms=500,
    in_progress_ms=600,
    forget_ms=3_000,
    minority_forget_ms=10**9,
    report_interval_ms=100,
    division_interval_ms=100,
)


def build_limits(concurrent=40, requests_per_s=10**6, tokens_per_s=10**9):
    """Return the limits of an organisation; the default rates never limit."""
    return {
        ORGANISATION: OrganisationLimits(
            ORGANISATION, 0.2, requests_per_s, concurrent, tokens_per_s, 0.1, 3, {}
        )
    }


class LimiterSimulation:
    """Instances that start as many requests as they can, and a network with partitions.

    An instance learns of a change of members after its own random delay, which
    is at most the detection time.
    """

    def __init__(self, settings=FAST, limits=None, seed=1):
        self.settings = settings
        self.limits = limits or build_limits()
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.limiters = {}
        self.side = {}
        self.demand = {}
        self.leaving = set()
        self.max_running_ms = settings.in_progress_ms - SLACK_MS
        self.running = {}
        self.starts = []
        self.sent = []
        self._views = {}
        self._due_views = []
        self._deliveries = []
        self._count = 0

    def start(self, name, demand=10**6, side=0):
        """Start an instance; the views of all instances change after a delay."""
        limiter = OrganisationLimiter(
            self.settings, name, random.Random(self.rng.random())
        )
        limiter.set_limits(self.limits)
        self.limiters[name] = limiter
        self.side[name] = side
        self.demand[name] = demand
        self.running[name] = []
        self._set_view(name, self._reachable_members(name))
        self.schedule_views()

    def stop(self, name):
        """Kill an instance with all its running requests."""
        for table in (self.limiters, self.side, self.demand, self.running):
            del table[name]
        self._views.pop(name)
        self.schedule_views()

    def leave(self, name):
        """Start the graceful leave of an instance, which notifies all others."""
        self.leaving.add(name)
        self.demand[name] = 0
        self.schedule_views()
        view = self._make_view(name, self._reachable_members(name) - {name})
        self._views[name] = view
        self._send(name, self.limiters[name].leave(view, self.now_ms))

    def set_empty_view(self, name):
        """Give a leaving instance a view without any living members."""
        self._views[name] = MemberView(
            build_address(name), (), leaving=frozenset({name})
        )

    def cut(self, side):
        """Put instances on another side of a partition, or back with 0."""
        for name, number in side.items():
            self.side[name] = number
        self.schedule_views()

    def schedule_views(self):
        """Schedule a new view for every instance, each after its own delay."""
        for name in self.limiters:
            delay_ms = self.rng.randrange(self.settings.detection_ms - SLACK_MS)
            heapq.heappush(self._due_views, (self.now_ms + delay_ms, name))

    def run(self, duration_ms, each_step=None, step_ms=10):
        """Advance the clock and run requests."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            self._deliver()
            if self.now_ms % TICK_MS == 0:
                self._tick()
            if self.now_ms % step_ms == 0:
                self._run_requests()
                if each_step is not None:
                    each_step()

    def in_use(self):
        """Return the number of running requests of all instances."""
        return sum(len(entries) for entries in self.running.values())

    def units(self, name):
        """Return the number of units that an instance can use."""
        return self.limiters[name]._handler.units(ORGANISATION, self.now_ms)

    def home(self):
        """Return the home instance according to the first instance."""
        first = next(iter(self.limiters.values()))
        return first._handler._shares.holdings[ORGANISATION].home

    def _reachable_members(self, instance):
        return {
            name
            for name in self.limiters
            if self.side[name] == self.side[instance] and name not in self.leaving
        }

    def _set_view(self, name, alive):
        known = self._views.get(name)
        if known is None or {m.instance for m in known.alive} != alive:
            self._views[name] = self._make_view(name, alive)

    def _make_view(self, name, alive):
        members = tuple(build_address(other) for other in sorted(alive))
        return MemberView(build_address(name), members, leaving=frozenset(self.leaving))

    def _deliver(self):
        while self._due_views and self._due_views[0][0] <= self.now_ms:
            _, name = heapq.heappop(self._due_views)
            if name in self.limiters:
                self._set_view(name, self._reachable_members(name))
        while self._deliveries and self._deliveries[0][0] <= self.now_ms:
            _, _, sender, side, receiver, message = heapq.heappop(self._deliveries)
            if receiver in self.limiters and self.side[receiver] == side:
                actions = self.limiters[receiver].receive(
                    sender, message, self._views[receiver], self.now_ms
                )
                self._send(receiver, actions)

    def _tick(self):
        for name, limiter in list(self.limiters.items()):
            self._send(name, limiter.tick(self._views[name], self.now_ms))
            if name in self.leaving and not self.running[name]:
                self.stop(name)

    def _run_requests(self):
        for name, limiter in self.limiters.items():
            entries = self.running[name]
            for ends_ms, request_id in entries:
                if ends_ms <= self.now_ms:
                    limiter.finish(request_id, 10, self.now_ms)
            entries[:] = [entry for entry in entries if entry[0] > self.now_ms]
            while len(entries) < self.demand[name]:
                if limiter.check(ORGANISATION, 10, self.now_ms) > 0:
                    break
                self._count += 1
                request_id = f'{name}-{self._count}'
                limiter.start(ORGANISATION, request_id, 10, self.now_ms)
                self.starts.append(self.now_ms)
                ends_ms = self.now_ms + 1 + self.rng.randrange(self.max_running_ms)
                entries.append((ends_ms, request_id))

    def _send(self, sender, actions):
        for action in actions:
            self._count += 1
            self.sent.append((sender, action.instance, action.message))
            entry = (
                self.now_ms + DELAY_MS,
                self._count,
                sender,
                self.side[sender],
                action.instance,
                action.message,
            )
            heapq.heappush(self._deliveries, entry)
