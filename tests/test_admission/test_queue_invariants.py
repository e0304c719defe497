"""Invariants of the queue over random histories."""

from __future__ import annotations

import copy
import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from savorychute.admission import (
    AdmissionSettings,
    QueuedRequest,
    RunningRequest,
    TieredAdmission,
)
from savorychute.result_code import ResultCode
from tests.test_admission.limits_factory import build_limits

ORGANISATIONS = {'a': 0.5, 'b': 0.3, 'c': 0.01}
TIERS = (0, 1, 2)
MAX_REQUESTS = 16
MAX_BYTES = 1_000
GUARANTEED_ONE_IN = 4

organisations = st.sampled_from(sorted(ORGANISATIONS))
tiers = st.sampled_from(TIERS)


class QueueMachine(RuleBasedStateMachine):
    """Offers, starts, expiry and removal in any order."""

    queue_settings = AdmissionSettings(
        max_requests=MAX_REQUESTS,
        max_bytes=MAX_BYTES,
        late_share=0.0,
        guaranteed_one_in=GUARANTEED_ONE_IN,
    )

    def __init__(self):
        super().__init__()
        self.queue = TieredAdmission(self.queue_settings, random.Random(5))
        self.queue.set_limits(build_limits(ORGANISATIONS, TIERS))
        self.waiting = {}
        self.now_ms = 0
        self.request_count = 0
        self.preemption_count = 0

    def build(self, organisation, tier, size_bytes=10, *, patient=False):
        """Return a new request."""
        self.request_count += 1
        return QueuedRequest(
            request_id=f'r{self.request_count}',
            organisation=organisation,
            class_name=f't{tier}',
            tier=tier,
            pool='m',
            arrival_ms=self.now_ms,
            deadline_ms=self.now_ms + 5_000,
            first_token_target_ms=300 * (tier + 1),
            size_bytes=size_bytes,
            expected_tokens=100,
            patient=patient,
            weight=1.0,
            minimum_share=0.05,
        )

    def offer(self, request, **options):
        """Offer a request and record the outcome."""
        outcome = self.queue.offer(request, 20.0, self.now_ms, **options)
        for shed in outcome.shed:
            del self.waiting[shed.request_id]
        if outcome.admitted:
            self.waiting[request.request_id] = request
        return outcome

    def start(self, blocked=()):
        """Start a request of an organisation that is not refused."""
        request = self.queue.next_start(
            'm', self.now_ms, lambda r: r.organisation not in blocked
        )
        if request is not None:
            del self.waiting[request.request_id]
        return request

    @rule(step_ms=st.integers(1, 400))
    def pass_time(self, step_ms):
        """Let time pass and requests expire."""
        self.now_ms += step_ms
        for shed in self.queue.expire(self.now_ms):
            request = self.waiting.pop(shed.request_id)
            is_past_deadline = request.deadline_ms <= self.now_ms
            assert (shed.code is ResultCode.DEADLINE_PASSED) == is_past_deadline

    @invariant()
    def nothing_is_lost(self):
        """Compare the queue with the requests that must be waiting."""
        by_tier = {}
        for request in self.waiting.values():
            by_tier[request.tier] = by_tier.get(request.tier, 0) + 1
        assert self.queue.waiting('m') == by_tier


class TierPriorityMachine(QueueMachine):
    """No request is refused while evicting lower tiers would make it fit.

    Guards against refusing an urgent request while a request of a lower tier
    stays in the queue.  It happens if limits or estimates consider only the
    new request.
    """

    @rule(
        organisation=organisations,
        tier=tiers,
        size_bytes=st.integers(1, 600),
        patient=st.booleans(),
        can_preempt=st.booleans(),
    )
    def offer_one(self, organisation, tier, size_bytes, patient, can_preempt):
        """Offer a request; a refusal must hold without any lower requests too."""
        request = self.build(organisation, tier, size_bytes, patient=patient)
        waiting_before = dict(self.waiting)
        queue_copy = copy.deepcopy(self.queue)
        outcome = self.offer(request, can_preempt=can_preempt)
        for shed in outcome.shed:
            self.check_victim(request, waiting_before[shed.request_id])
            assert shed.retry_after_ms > 0
        if outcome.admitted:
            return
        assert outcome.retry_after_ms > 0
        if outcome.code is ResultCode.OVERLOADED:
            assert not can_preempt
            assert not patient
        for other in waiting_before.values():
            if other.tier > tier:
                queue_copy.remove(other.request_id)
        assert not queue_copy.offer(request, 20.0, self.now_ms).admitted

    def check_victim(self, request, victim):
        """Check that the evicted request is of the lowest tier."""
        assert victim.tier >= request.tier
        assert all(other.tier <= victim.tier for other in self.waiting.values())

    @rule(blocked=st.sets(organisations, max_size=2))
    def start_one(self, blocked):
        """Start a request that can start."""
        self.start(blocked)

    @rule(tier=tiers, interval_ms=st.integers(30, 200))
    def drain_backlog(self, tier, interval_ms):
        """Let the queue measure how fast the pool starts requests."""
        for _ in range(MAX_REQUESTS - len(self.waiting)):
            self.offer(self.build('a', tier, patient=True))
        for _ in range(12):
            self.pass_time(interval_ms)
            self.start()

    @rule(tier=tiers, running_tier=tiers)
    def preempt_for_urgent(self, tier, running_tier):
        """Preempt after a request has waited a large share of its target."""
        self.offer(self.build('a', tier), can_preempt=True)
        self.pass_time(100 * (tier + 1))
        self.preempt([(running_tier, True, 0)], set())

    @rule(
        running=st.lists(st.tuples(tiers, st.booleans(), st.integers(0, 50))),
        blocked=st.sets(organisations, max_size=2),
    )
    def preempt(self, running, blocked):
        """Request a preemption."""
        # The ids are unique, because an id that is being preempted is skipped in
        # later calls, even if it stands for another request.
        self.preemption_count += 1
        entries = [
            RunningRequest(f'x{self.preemption_count}-{n}', *entry)
            for n, entry in enumerate(running)
        ]
        chosen = self.queue.preemption(
            'm', entries, self.now_ms, lambda r: r.organisation not in blocked
        )
        if chosen is None:
            return
        victim = next(entry for entry in entries if entry.request_id == chosen)
        assert victim.resumable
        startable = [r for r in self.waiting.values() if r.organisation not in blocked]
        assert any(r.tier < victim.tier for r in startable)
        assert all(e.tier <= victim.tier for e in entries if e.resumable)

    @invariant()
    def limits_hold(self):
        """Check that the queue stays within its limits."""
        assert len(self.waiting) <= MAX_REQUESTS
        assert sum(r.size_bytes for r in self.waiting.values()) <= MAX_BYTES


class GuaranteedStartMachine(QueueMachine):
    """Each class that can start is started within a bounded number of starts.

    Guards against starving a low class while requests of higher tiers keep
    arriving.  It happens with strict tiers alone, and with a guarantee that is
    reset whenever a waiting request times out.
    """

    queue_settings = AdmissionSettings(
        max_requests=100, guaranteed_one_in=GUARANTEED_ONE_IN, guarantee_floor=0.1
    )
    max_passed_over = math.ceil(1 / 0.1) + GUARANTEED_ONE_IN * (
        len(ORGANISATIONS) * len(TIERS) + 1
    )

    def __init__(self):
        super().__init__()
        self.passed_over = {}
        self.out_of_order = 0
        self.starts = 0

    @rule(count=st.integers(1, 3))
    def offer_to_all(self, count):
        """Offer requests of every class."""
        for organisation in ORGANISATIONS:
            for tier in TIERS:
                self.offer_some(organisation, tier, count)

    @rule(organisation=organisations, tier=tiers, count=st.integers(1, 5))
    def offer_some(self, organisation, tier, count):
        """Offer requests of one class."""
        for _ in range(count):
            self.offer(self.build(organisation, tier, patient=True))

    @rule(count=st.integers(1, 40), flood=organisations)
    def start_under_flood(self, count, flood):
        """Start while the top tier of one organisation never runs empty."""
        for _ in range(count):
            self.offer(self.build(flood, 0, patient=True))
            self.check_start(self.start(), ())

    @rule(blocked=st.sets(organisations, max_size=2))
    def start_one(self, blocked):
        """Start a request that can start."""
        self.check_start(self.start(blocked), blocked)

    def check_start(self, started, blocked):
        """Count the starts for which each class was passed over."""
        startable = {
            (r.organisation, r.tier)
            for r in self.waiting.values()
            if r.organisation not in blocked
        }
        if started is None:
            assert not startable
            return
        self.starts += 1
        if any(tier < started.tier for _, tier in startable):
            self.out_of_order += 1
        assert self.out_of_order <= self.starts / GUARANTEED_ONE_IN + 1
        key = (started.organisation, started.tier)
        self.passed_over = {
            other: self.passed_over.get(other, 0) + 1
            for other in startable
            if other != key
        }
        assert all(count <= self.max_passed_over for count in self.passed_over.values())


machine_settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestTierPriority = TierPriorityMachine.TestCase
TestTierPriority.settings = machine_settings
TestGuaranteedStarts = GuaranteedStartMachine.TestCase
TestGuaranteedStarts.settings = machine_settings
