"""Simulation of random histories of poison requests over several instances."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple

from savorychute.member_address import MemberAddress
from savorychute.membership import MemberView
from savorychute.recovery import PoisonVerdict, Quarantine, QuarantineSettings

TICK_MS = 100
REDISPATCH_MS = 50
POISON = 'poison'


class HistoryPlan(NamedTuple):
    """Sizes and times of one history.

    A caller whose request failed sends it again after ``resend_ms``, to any
    instance and under a new key.  The ``poisons`` start one per second.
    """

    instances: int = 8
    endpoints: int = 9
    innocents: int = 400
    poisons: int = 1
    copies: int = 1
    attempts: int = 3
    duration_ms: int = 500
    restart_ms: int = 2_000
    resend_ms: int = 5
    delay_ms: int = 2
    loss_share: float = 0.0
    end_ms: int = 15_000


class PoisonHistory:
    """Requests, endpoints that crash, and the quarantines of the instances."""

    def __init__(self, plan: HistoryPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.crashed_by: dict[str, list[str]] = {}
        self.quarantined: set[str] = set()
        self.answered_ms: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}
        self.now_ms = 0
        self._events = []
        self._order = itertools.count()
        self._running: dict[str, tuple[str, int, str, int]] = {}
        self._available = {f'e{number}' for number in range(plan.endpoints)}
        names = [f'i{number}' for number in range(plan.instances)]
        members = tuple(MemberAddress(name, 1, 'r', 'd', 'h', 0, 0) for name in names)
        self._names = names
        documents = {name: {'models': ['m']} for name in self._available}
        self._views = [MemberView(member, members) for member in members]
        self._quarantines = [
            Quarantine(QuarantineSettings(), name, random.Random(self.rng.random()))
            for name in names
        ]
        for quarantine in self._quarantines:
            quarantine.set_endpoints(documents)

    def schedule(self, at_ms, call, *arguments):
        """Schedule a call."""
        heapq.heappush(self._events, (at_ms, next(self._order), call, arguments))

    def run(self):
        """Run the history to its end."""
        plan = self.plan
        for index in range(plan.instances):
            self.schedule(self.rng.randrange(TICK_MS), self._tick, index)
        for number in range(plan.innocents):
            self.schedule(
                self.rng.randrange(plan.end_ms // 2),
                self._send_from_caller,
                f'good{number}',
            )
        for number in range(plan.poisons):
            for _ in range(plan.copies):
                at_ms = 1_000 * number + 1_000 + self.rng.randrange(3)
                self.schedule(at_ms, self._send_from_caller, f'{POISON}{number}')
        while self._events and self._events[0][0] <= plan.end_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def _tick(self, index):
        self._deliver(
            index, self._quarantines[index].tick(self._views[index], self.now_ms)
        )
        self.schedule(self.now_ms + TICK_MS, self._tick, index)

    def _deliver(self, index, actions):
        for action in actions:
            if self.rng.random() >= self.plan.loss_share:
                delay_ms = self.rng.randint(1, self.plan.delay_ms)
                receiver = self._names.index(action.instance)
                self.schedule(
                    self.now_ms + delay_ms,
                    self._receive,
                    index,
                    receiver,
                    action.message,
                )

    def _receive(self, sender, receiver, message):
        quarantine = self._quarantines[receiver]
        actions = quarantine.receive(self._names[sender], message, self.now_ms)
        self._deliver(receiver, actions)

    def _send_from_caller(self, fingerprint):
        """Let the caller send the request to a random instance."""
        self.started_ms.setdefault(fingerprint, self.now_ms)
        self._dispatch(fingerprint, self.rng.randrange(self.plan.instances), 1)

    def _resend(self, fingerprint, wait_ms):
        delay_ms = wait_ms + self.plan.resend_ms + self.rng.randrange(50)
        self.schedule(self.now_ms + delay_ms, self._send_from_caller, fingerprint)

    def _dispatch(self, fingerprint, index, attempt):
        quarantine = self._quarantines[index]
        verdict = quarantine.verdict(fingerprint, self.now_ms)
        if verdict is PoisonVerdict.QUARANTINED:
            self.quarantined.add(fingerprint)
            return
        if verdict is PoisonVerdict.HELD:
            self._resend(
                fingerprint, quarantine.retry_delay_ms(fingerprint, self.now_ms)
            )
            return
        available_endpoints = sorted(self._available)
        endpoint = self.rng.choice(available_endpoints) if available_endpoints else None
        if verdict is PoisonVerdict.SUSPECT:
            endpoint = quarantine.preferred_endpoint(
                fingerprint, available_endpoints, self.now_ms
            )
        if endpoint is None:
            self.schedule(
                self.now_ms + REDISPATCH_MS, self._dispatch, fingerprint, index, attempt
            )
            return
        self._start(fingerprint, index, attempt, endpoint)

    def _start(self, fingerprint, index, attempt, endpoint):
        attempt_id = f'a{next(self._order)}'
        self._running[attempt_id] = (fingerprint, index, endpoint, attempt)
        quarantine = self._quarantines[index]
        quarantine.record_start(fingerprint, attempt_id, endpoint, self.now_ms)
        if fingerprint.startswith(POISON):
            delay_ms = self.rng.randint(5, 50)
            self.schedule(self.now_ms + delay_ms, self._crash_endpoint, attempt_id)
        else:
            duration_ms = self.rng.randint(20, 2 * self.plan.duration_ms)
            self.schedule(self.now_ms + duration_ms, self._end_attempt, attempt_id)

    def _end_attempt(self, attempt_id):
        if attempt_id not in self._running:
            return
        fingerprint, index, _, _ = self._running.pop(attempt_id)
        self._quarantines[index].record_end(fingerprint, attempt_id, True, self.now_ms)
        self.answered_ms[fingerprint] = self.now_ms

    def _crash_endpoint(self, attempt_id):
        if attempt_id not in self._running:
            return
        fingerprint, _, endpoint, _ = self._running[attempt_id]
        self.crashed_by.setdefault(fingerprint, []).append(endpoint)
        self._available.discard(endpoint)
        self.schedule(self.now_ms + self.plan.restart_ms, self._available.add, endpoint)
        lost_attempt_ids = [
            lost_attempt_id
            for lost_attempt_id, running in self._running.items()
            if running[2] == endpoint
        ]
        by_instance = {}
        for lost_attempt_id in lost_attempt_ids:
            by_instance.setdefault(self._running[lost_attempt_id][1], []).append(
                lost_attempt_id
            )
        for index, attempt_ids in by_instance.items():
            self.schedule(self.now_ms + 1, self._record_crashes, index, attempt_ids)

    def _record_crashes(self, index, attempt_ids):
        quarantine = self._quarantines[index]
        lost_attempts = [
            (attempt_id, *self._running.pop(attempt_id))
            for attempt_id in attempt_ids
            if attempt_id in self._running
        ]
        for attempt_id, fingerprint, _, endpoint, _ in lost_attempts:
            quarantine.record_crash(fingerprint, attempt_id, endpoint, self.now_ms)
        self._deliver(index, quarantine.tick(self._views[index], self.now_ms))
        for _, fingerprint, _, _, attempt in lost_attempts:
            if attempt < self.plan.attempts:
                self._dispatch(fingerprint, index, attempt + 1)
            else:
                self._resend(fingerprint, 0)
