"""Instances that call one endpoint with a limit, on one clock, and a judge of its calls."""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from contextlib import suppress

from gateway_fakes import START_MS, FakeTimers, ignore_limit

from savorychute.clock import MS_PER_S, ManualClock
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.limit_table import LimitTable
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_desk import PermitDesk
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

RUN = EndpointRun('e1', 7)
# The rule: calls within a span that ends some time after the first statement, of
# instances that had been told half a second before.
SPAN_MS = 4_000
NOTICE_MS = 3_000
TOLD_MS = 500
# Until an instance that was started, frozen or cut off counts as in touch again.
EXCUSED_MS = 3_000
DELAY_MS = 2
WORK_MS = 20
# From a change of the members until all have seen it.
DETECTION_MS = 1_000
GOSSIP_MS = 500
LEAST_URGENT_RANK = 8


class Instance:
    """One run of an instance."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.address = MemberAddress(name, 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)
        self.name = name
        self.alive = True
        self.frozen = False
        self.held = []
        self.limits = LimitTable(ignore_limit)
        self.desk = PermitDesk(self.limits, fleet.clock, fleet.timers)
        self.desk.send = self._send

    def _send(self, action):
        self.fleet.deliver(self, action.instance, action.message)

    def receive(self, sender, message):
        if not self.alive:
            return
        if self.frozen:
            self.held.append((sender, message))
        elif isinstance(message, PermitAnswer):
            self.desk.take_answer(message)
        elif isinstance(message, PermitQuestion):
            self._send_to(sender, self.desk.answer(message))
        else:
            self.limits.record_reported(message, self.fleet.now_ms)

    def _send_to(self, name, message):
        self.fleet.deliver(self, name, message)

    def wake(self):
        self.frozen = False
        held, self.held = self.held, []
        for sender, message in held:
            self.receive(sender, message)

    def see(self, names):
        addresses = sorted(self.fleet.instances[name].address for name in names)
        self.desk.follow(MemberView(self.address, tuple(addresses)))

    def want(self, rank):
        """Take a request that the endpoint would serve."""
        if not self.alive or self.frozen:
            return
        outcome = self.desk.request(RUN, rank, lambda found: self._go(found, rank))
        if outcome is not None:
            self._go(outcome, rank)

    def _go(self, outcome, rank):
        permit = outcome if isinstance(outcome, Permit) else None
        is_up = self.alive and not self.frozen
        if is_up and self.desk.may_send(RUN, permit, self.fleet.now_ms):
            self.fleet.call(self, rank)

    def take_answer(self, limit_per_s, sent_ms):
        if not self.alive or self.frozen:
            return
        if limit_per_s is None:
            self.limits.record_no_limit(RUN, sent_ms)
        else:
            self.limits.record_limit(RUN, limit_per_s, self.fleet.now_ms)


class PermitFleet:
    """Instances by name, the endpoint, and what it got."""

    def __init__(self, instances, per_s, limit_per_s, seed=1, loss_share=0.0):
        self.clock = ManualClock(START_MS)
        self.timers = FakeTimers(self.clock)
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._next_request = None
        self._loss_share = loss_share
        self.limits = [(START_MS, limit_per_s)]
        self.cut = set()
        self.excused = {}
        self.told_ms = {}
        # When a call came, from whom, how urgent.
        self.calls = []
        # That were asked of homes.
        self.questions = 0
        self.instances = {}
        for number in range(instances):
            self._add(f'k{number}')
        self._see()
        self._arm_request()
        self._gossip()

    @property
    def now_ms(self):
        return self.clock.now_ms()

    @property
    def limit_per_s(self):
        return self.limits[-1][1]

    def state(self, limit_per_s):
        """Let the endpoint state another limit, or none."""
        self.limits.append((self.now_ms, limit_per_s))

    def run(self, duration_ms):
        self.timers.advance(duration_ms)

    # -- what happens to instances

    def _add(self, name):
        self.instances[name] = Instance(self, name)

    def kill(self, name):
        self.instances[name].alive = False
        self._changed()

    def start(self, name):
        if name in self.instances and self.instances[name].alive:
            return
        self._add(name)
        self.told_ms.pop(name, None)
        self._excuse(name)
        self._changed()

    def freeze(self, name):
        self.instances[name].frozen = True
        self._changed()

    def wake(self, name):
        if self.instances[name].frozen:
            self._excuse(name)
            self.instances[name].wake()
            self._changed()

    def cut_off(self, name):
        self.cut.add(name)
        self._changed()

    def join(self, name):
        if name in self.cut:
            self.cut.discard(name)
            self._excuse(name)
            self._changed()

    def _excuse(self, name):
        self.excused[name] = self.now_ms + EXCUSED_MS

    def _changed(self):
        """Let each see the change at a time of its own."""
        for name in self.instances:
            delay_ms = self._rng.randint(DETECTION_MS // 2, DETECTION_MS)
            self.timers.call_later(delay_ms, lambda name=name: self._see_one(name))

    def _see(self):
        for name in self.instances:
            self._see_one(name)

    def _see_one(self, name):
        instance = self.instances[name]
        if instance.alive and not instance.frozen:
            instance.see([each for each in self.instances if self._sees(name, each)])

    def _sees(self, name, other):
        instance = self.instances[other]
        reaches = name == other or not {name, other} & self.cut
        return instance.alive and not instance.frozen and reaches

    # -- messages

    def deliver(self, sender, name, message):
        self.questions += isinstance(message, PermitQuestion)
        lost = self._rng.random() < self._loss_share
        if lost or {sender.name, name} & self.cut:
            return
        delay_ms = self._rng.randint(1, 2 * DELAY_MS)
        self.timers.call_later(
            delay_ms, lambda: self.instances[name].receive(sender.name, message)
        )

    def _gossip(self):
        """Let each instance probe another one; both tell what they know."""
        names = sorted(self.instances)
        for instance in list(self.instances.values()):
            other = self.instances[self._rng.choice(names)]
            self._tell(instance, other)
            self._tell(other, instance)
        self.timers.call_later(GOSSIP_MS, self._gossip)

    def _tell(self, teller, hearer):
        told = teller.limits.announcements(self.now_ms)
        if told and teller.alive and not teller.frozen:
            self.deliver(teller, hearer.name, told)

    # -- requests and the endpoint

    def ask_for(self, per_s):
        """Let callers send another number of requests a second."""
        self._per_s = per_s
        self._next_request.cancel()
        self._arm_request()

    def _arm_request(self):
        wait_ms = round(self._rng.expovariate(self._per_s) * MS_PER_S)
        self._next_request = self.timers.call_later(wait_ms, self._request)

    def _request(self):
        self._arm_request()
        name = self._rng.choice(sorted(self.instances))
        self.instances[name].want(self._rng.randint(0, LEAST_URGENT_RANK))

    def call(self, instance, rank):
        sent_ms = self.now_ms
        delay_ms = self._rng.randint(1, 2 * DELAY_MS)
        self.timers.call_later(delay_ms, lambda: self._arrive(instance, rank, sent_ms))

    def _arrive(self, instance, rank, sent_ms):
        name = instance.name
        if not self._is_excused(name):
            self.calls.append((self.now_ms, name, rank))
        self.timers.call_later(WORK_MS, lambda: self._answer(instance, sent_ms))

    def _is_excused(self, name):
        instance = self.instances[name]
        out_of_touch = instance.frozen or name in self.cut
        return out_of_touch or self.now_ms < self.excused.get(name, 0)

    def _answer(self, instance, sent_ms):
        if self.limit_per_s is not None:
            self.told_ms.setdefault(instance.name, self.now_ms)
        instance.take_answer(self.limit_per_s, sent_ms)

    # -- the judge

    def find_excess(self):
        """Return by how much the worst span passes what the endpoint takes."""
        counted = [
            at_ms
            for at_ms, name, _ in self.calls
            if at_ms >= self.told_ms.get(name, at_ms) + TOLD_MS
        ]
        first_ms = self.limits[0][0] + NOTICE_MS
        excess = float('-inf')
        for index, at_ms in enumerate(counted):
            begin_ms = at_ms - SPAN_MS
            allowed = self._find_allowed(begin_ms, at_ms)
            if at_ms >= first_ms and allowed is not None:
                calls = index + 1 - bisect_left(counted, begin_ms)
                excess = max(excess, calls - allowed)
        return excess

    def _find_allowed(self, begin_ms, end_ms):
        """Return what a span may have; None for any number.

        Whoever states another limit has to be heard first.
        """
        times_ms = [at_ms for at_ms, _ in self.limits]
        first = max(0, bisect_right(times_ms, begin_ms - NOTICE_MS) - 1)
        stated = [
            per_s for _, per_s in self.limits[first : bisect_right(times_ms, end_ms)]
        ]
        if None in stated:
            return None
        return 1.5 * max(stated) * SPAN_MS / MS_PER_S + 5

    def use_share(self, from_ms):
        """Return the part of the limit that was used."""
        calls = sum(at_ms >= from_ms for at_ms, _, _ in self.calls)
        return calls / (self.limit_per_s * (self.now_ms - from_ms) / MS_PER_S)

    def served_shares(self):
        """Return the part of the calls of each tier, the most urgent first."""
        ranks = [rank // 3 for _, _, rank in self.calls]
        return [ranks.count(tier) / len(ranks) for tier in range(3)]


def apply_step(fleet, step, names):
    """Do something to some instances."""
    for name in names:
        with suppress(KeyError):
            getattr(fleet, step)(name)
