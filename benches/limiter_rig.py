"""Limiters that exchange messages in one process, on a virtual clock."""

from __future__ import annotations

import heapq
import random

from benches.ledger_rig import build_address
from savorychute.contracts.organisation_limits import OrganisationLimits
from savorychute.limits import LimitSettings, OrganisationLimiter
from savorychute.membership import MemberView

TICK_MS = 50
DELAY_MS = 1

#: What ticks and steps of work add to the durations of the settings.
SLACK_MS = 100
ORGANISATION = 'kuttanad-pumps'

#: Short durations, so that a random history passes through all of them.
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
    """Return an organisation's limits; rates bind only if they are given."""
    return {
        ORGANISATION: OrganisationLimits(
            ORGANISATION, 0.2, requests_per_s, concurrent, tokens_per_s, 0.1, 3, {}
        )
    }


class LimiterRig:
    """Instances that start what they may, in a network that a test cuts.

    An instance sees a change of the others after a delay of its own, at most
    the detection time.
    """

    def __init__(self, settings=FAST, limits=None, seed=1):
        self.settings = settings
        self.limits = limits or build_limits()
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.limiters = {}
        self.side = {}
        self.greed = {}
        self.leaving = set()
        self.hold_ms = settings.in_progress_ms - SLACK_MS
        self.running = {}
        self.starts = []
        self.sent = []
        self._views = {}
        self._due_views = []
        self._wires = []
        self._count = 0

    def start(self, name, greed=10**6, side=0):
        """Start an instance; it and the others see that after a while."""
        limiter = OrganisationLimiter(
            self.settings, name, random.Random(self.rng.random())
        )
        limiter.set_limits(self.limits)
        self.limiters[name] = limiter
        self.side[name] = side
        self.greed[name] = greed
        self.running[name] = []
        self._set_view(name, self._true_alive(name))
        self.changed()

    def stop(self, name):
        """Kill an instance and all that it runs."""
        for table in (self.limiters, self.side, self.greed, self.running):
            del table[name]
        self._views.pop(name)
        self.changed()

    def leave(self, name):
        """Let an instance leave gracefully, and tell all."""
        self.leaving.add(name)
        self.greed[name] = 0
        self.changed()
        view = self._make_view(name, self._true_alive(name) - {name})
        self._views[name] = view
        self._post(name, self.limiters[name].leave(view, self.now_ms))

    def see_nobody(self, name):
        """Let an instance see that it is leaving and that nobody else is there."""
        self._views[name] = MemberView(
            build_address(name), (), leaving=frozenset({name})
        )

    def cut(self, side):
        """Put instances on another side of a cut, or back with 0."""
        for name, number in side.items():
            self.side[name] = number
        self.changed()

    def changed(self):
        """Let every instance see the members, each after its own delay."""
        for name in self.limiters:
            delay_ms = self.rng.randrange(self.settings.detection_ms - SLACK_MS)
            heapq.heappush(self._due_views, (self.now_ms + delay_ms, name))

    def run(self, duration_ms, each_step=None, step_ms=10):
        """Let time pass and work be done."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            self._deliver()
            if self.now_ms % TICK_MS == 0:
                self._tick()
            if self.now_ms % step_ms == 0:
                self._work()
                if each_step is not None:
                    each_step()

    def in_use(self):
        """Return how many requests run, over all instances."""
        return sum(len(entries) for entries in self.running.values())

    def units(self, name):
        """Return how many units an instance may use."""
        return self.limiters[name]._handler.units(ORGANISATION, self.now_ms)

    def home(self):
        """Return the instance that the first one takes for the home."""
        first = next(iter(self.limiters.values()))
        return first._handler._shares.holdings[ORGANISATION].home

    def _true_alive(self, viewer):
        return {
            name
            for name in self.limiters
            if self.side[name] == self.side[viewer] and name not in self.leaving
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
                self._set_view(name, self._true_alive(name))
        while self._wires and self._wires[0][0] <= self.now_ms:
            _, _, sender, side, receiver, message = heapq.heappop(self._wires)
            if receiver in self.limiters and self.side[receiver] == side:
                actions = self.limiters[receiver].receive(
                    sender, message, self._views[receiver], self.now_ms
                )
                self._post(receiver, actions)

    def _tick(self):
        for name, limiter in list(self.limiters.items()):
            self._post(name, limiter.tick(self._views[name], self.now_ms))
            if name in self.leaving and not self.running[name]:
                self.stop(name)

    def _work(self):
        for name, limiter in self.limiters.items():
            entries = self.running[name]
            for ends_ms, request_id in entries:
                if ends_ms <= self.now_ms:
                    limiter.finish(request_id, 10, self.now_ms)
            entries[:] = [entry for entry in entries if entry[0] > self.now_ms]
            while len(entries) < self.greed[name]:
                if limiter.check(ORGANISATION, 10, self.now_ms) > 0:
                    break
                self._count += 1
                request_id = f'{name}-{self._count}'
                limiter.start(ORGANISATION, request_id, 10, self.now_ms)
                self.starts.append(self.now_ms)
                ends_ms = self.now_ms + 1 + self.rng.randrange(self.hold_ms)
                entries.append((ends_ms, request_id))

    def _post(self, sender, actions):
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
            heapq.heappush(self._wires, entry)
