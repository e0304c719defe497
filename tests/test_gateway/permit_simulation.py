"""Simulation of instances that call one limited endpoint, and a check of its calls."""

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
from savorychute.gateway.permits.permit_handler import PermitHandler
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

RUN = EndpointRun('e1', 7)
# The checked rule: it applies to calls within a span that ends some time after the
# first statement, from instances that were notified half a second before.
SPAN_MS = 4_000
NOTICE_MS = 3_000
NOTIFIED_MS = 500
# Time until an instance that was started, frozen or cut off is up to date again.  Until
# then the rule does not apply to its calls.
EXEMPTION_MS = 3_000
DELAY_MS = 2
WORK_MS = 20
# Time until all instances have detected a change of the members.
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
        self.queued_messages = []
        self.limits = LimitTable(ignore_limit)
        self.handler = PermitHandler(self.limits, fleet.clock, fleet.timers)
        self.handler.send = self._send

    def _send(self, action):
        self.fleet.deliver(self, action.instance, action.message)

    def receive(self, sender, message):
        if not self.alive:
            return
        if self.frozen:
            self.queued_messages.append((sender, message))
        elif isinstance(message, PermitAnswer):
            self.handler.handle_response(message)
        elif isinstance(message, PermitQuestion):
            self._send_to(sender, self.handler.respond(message))
        else:
            self.limits.record_reported(message, self.fleet.now_ms)

    def _send_to(self, name, message):
        self.fleet.deliver(self, name, message)

    def wake(self):
        self.frozen = False
        queued_messages, self.queued_messages = self.queued_messages, []
        for sender, message in queued_messages:
            self.receive(sender, message)

    def set_members(self, names):
        addresses = sorted(self.fleet.instances[name].address for name in names)
        self.handler.set_view(MemberView(self.address, tuple(addresses)))

    def handle_request(self, rank):
        """Handle a request that the endpoint would serve."""
        if not self.alive or self.frozen:
            return
        outcome = self.handler.request(
            RUN, rank, lambda decided: self._send_call(decided, rank)
        )
        if outcome is not None:
            self._send_call(outcome, rank)

    def _send_call(self, outcome, rank):
        permit = outcome if isinstance(outcome, Permit) else None
        is_up = self.alive and not self.frozen
        if is_up and self.handler.can_send(RUN, permit, self.fleet.now_ms):
            self.fleet.call(self, rank)

    def handle_endpoint_response(self, limit_per_s, sent_ms):
        if not self.alive or self.frozen:
            return
        if limit_per_s is None:
            self.limits.record_no_limit(RUN, sent_ms)
        else:
            self.limits.record_limit(RUN, limit_per_s, self.fleet.now_ms)


class PermitFleet:
    """The instances by name, the endpoint, and the calls that it received."""

    def __init__(self, instances, per_s, limit_per_s, seed=1, loss_share=0.0):
        self.clock = ManualClock(START_MS)
        self.timers = FakeTimers(self.clock)
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._next_request = None
        self._loss_share = loss_share
        self.limits = [(START_MS, limit_per_s)]
        self.cut_off_names = set()
        self.exempt_until_ms = {}
        self.notified_ms = {}
        # Time, sender and rank of each call.
        self.calls = []
        # Number of queries sent to homes.
        self.queries = 0
        self.instances = {}
        for number in range(instances):
            self._add(f'k{number}')
        self._update_views()
        self._arm_request()
        self._gossip()

    @property
    def now_ms(self):
        return self.clock.now_ms()

    @property
    def limit_per_s(self):
        return self.limits[-1][1]

    def state_limit(self, limit_per_s):
        """Let the endpoint state another limit, or none."""
        self.limits.append((self.now_ms, limit_per_s))

    def run(self, duration_ms):
        self.timers.advance(duration_ms)

    # -- events at instances

    def _add(self, name):
        self.instances[name] = Instance(self, name)

    def kill(self, name):
        self.instances[name].alive = False
        self._schedule_updates()

    def start(self, name):
        if name in self.instances and self.instances[name].alive:
            return
        self._add(name)
        self.notified_ms.pop(name, None)
        self._exempt(name)
        self._schedule_updates()

    def freeze(self, name):
        self.instances[name].frozen = True
        self._schedule_updates()

    def wake(self, name):
        if self.instances[name].frozen:
            self._exempt(name)
            self.instances[name].wake()
            self._schedule_updates()

    def cut_off(self, name):
        self.cut_off_names.add(name)
        self._schedule_updates()

    def join(self, name):
        if name in self.cut_off_names:
            self.cut_off_names.discard(name)
            self._exempt(name)
            self._schedule_updates()

    def _exempt(self, name):
        self.exempt_until_ms[name] = self.now_ms + EXEMPTION_MS

    def _schedule_updates(self):
        """Let each instance detect the change at a random time."""
        for name in self.instances:
            delay_ms = self._rng.randint(DETECTION_MS // 2, DETECTION_MS)
            self.timers.call_later(delay_ms, lambda name=name: self._update_view(name))

    def _update_views(self):
        for name in self.instances:
            self._update_view(name)

    def _update_view(self, name):
        instance = self.instances[name]
        if instance.alive and not instance.frozen:
            instance.set_members(
                [each for each in self.instances if self._is_visible(name, each)]
            )

    def _is_visible(self, name, other):
        instance = self.instances[other]
        is_reachable = name == other or not {name, other} & self.cut_off_names
        return instance.alive and not instance.frozen and is_reachable

    # -- messages

    def deliver(self, sender, name, message):
        self.queries += isinstance(message, PermitQuestion)
        is_lost = self._rng.random() < self._loss_share
        if is_lost or {sender.name, name} & self.cut_off_names:
            return
        delay_ms = self._rng.randint(1, 2 * DELAY_MS)
        self.timers.call_later(
            delay_ms, lambda: self.instances[name].receive(sender.name, message)
        )

    def _gossip(self):
        """Let each instance probe another one; both announce their limits."""
        names = sorted(self.instances)
        for instance in list(self.instances.values()):
            other = self.instances[self._rng.choice(names)]
            self._announce(instance, other)
            self._announce(other, instance)
        self.timers.call_later(GOSSIP_MS, self._gossip)

    def _announce(self, announcer, listener):
        announcements = announcer.limits.announcements(self.now_ms)
        if announcements and announcer.alive and not announcer.frozen:
            self.deliver(announcer, listener.name, announcements)

    # -- requests and the endpoint

    def set_request_rate(self, per_s):
        """Change the number of requests per second that callers send."""
        self._per_s = per_s
        self._next_request.cancel()
        self._arm_request()

    def _arm_request(self):
        wait_ms = round(self._rng.expovariate(self._per_s) * MS_PER_S)
        self._next_request = self.timers.call_later(wait_ms, self._request)

    def _request(self):
        self._arm_request()
        name = self._rng.choice(sorted(self.instances))
        self.instances[name].handle_request(self._rng.randint(0, LEAST_URGENT_RANK))

    def call(self, instance, rank):
        sent_ms = self.now_ms
        delay_ms = self._rng.randint(1, 2 * DELAY_MS)
        self.timers.call_later(delay_ms, lambda: self._arrive(instance, rank, sent_ms))

    def _arrive(self, instance, rank, sent_ms):
        name = instance.name
        if not self._is_exempt(name):
            self.calls.append((self.now_ms, name, rank))
        self.timers.call_later(WORK_MS, lambda: self._respond(instance, sent_ms))

    def _is_exempt(self, name):
        instance = self.instances[name]
        is_disconnected = instance.frozen or name in self.cut_off_names
        return is_disconnected or self.now_ms < self.exempt_until_ms.get(name, 0)

    def _respond(self, instance, sent_ms):
        if self.limit_per_s is not None:
            self.notified_ms.setdefault(instance.name, self.now_ms)
        instance.handle_endpoint_response(self.limit_per_s, sent_ms)

    # -- checks

    def find_excess(self):
        """Return by how many calls the worst span exceeds what the endpoint accepts."""
        counted = [
            at_ms
            for at_ms, name, _ in self.calls
            if at_ms >= self.notified_ms.get(name, at_ms) + NOTIFIED_MS
        ]
        first_ms = self.limits[0][0] + NOTICE_MS
        excess = float('-inf')
        for index, at_ms in enumerate(counted):
            start_ms = at_ms - SPAN_MS
            allowed = self._find_allowed(start_ms, at_ms)
            if at_ms >= first_ms and allowed is not None:
                calls = index + 1 - bisect_left(counted, start_ms)
                excess = max(excess, calls - allowed)
        return excess

    def _find_allowed(self, start_ms, end_ms):
        """Return the number of calls that a span may have; None for any number.

        A changed limit applies only once it has been received.
        """
        times_ms = [at_ms for at_ms, _ in self.limits]
        first_index = max(0, bisect_right(times_ms, start_ms - NOTICE_MS) - 1)
        stated = [
            per_s
            for _, per_s in self.limits[first_index : bisect_right(times_ms, end_ms)]
        ]
        if None in stated:
            return None
        return 1.5 * max(stated) * SPAN_MS / MS_PER_S + 5

    def use_share(self, from_ms):
        """Return the share of the limit that was used."""
        calls = sum(at_ms >= from_ms for at_ms, _, _ in self.calls)
        return calls / (self.limit_per_s * (self.now_ms - from_ms) / MS_PER_S)

    def served_shares(self):
        """Return each tier's share of the calls, the most urgent tier first."""
        ranks = [rank // 3 for _, _, rank in self.calls]
        return [ranks.count(tier) / len(ranks) for tier in range(3)]


def apply_step(fleet, step, names):
    """Apply a step to some instances."""
    for name in names:
        with suppress(KeyError):
            getattr(fleet, step)(name)
