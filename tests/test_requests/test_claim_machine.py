"""Tests claims under all faults of the log with a Hypothesis state machine.

Appends complete late or never, replies are lost, reads lag or fail, records expire
at any time, wall clocks differ by up to their margin, instances crash and restart
without any state, and callers retry a key at any instance.
"""

from __future__ import annotations

import random

from claim_fixture import make_uuid7
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from key_fixture import make_address

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.membership.member_view import MemberView
from savorychute.ran import Ran
from savorychute.requests import (
    KeyGranted,
    KeyManager,
    KeyRefused,
    KeySettings,
    StartPermitted,
)

INSTANCES = 'abc'
SETTINGS = KeySettings(
    claim_lifetime_ms=20_000,
    outcome_lifetime_ms=1_000,
    claim_backlog_records=3,
    claim_page_records=2,
    max_claims=4,
    log_retry_ms=20,
    claim_read_timeout_ms=100,
)
HALF_MARGIN_MS = SETTINGS.clock_margin_ms // 2
RECOVERY_STEP_MS = 5_000
CATCH_UP_ROUNDS = 4

instances = st.sampled_from(INSTANCES)
indices = st.integers(0, 5)


class ClaimMachine(RuleBasedStateMachine):
    """Three instances that share one log of claims."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(1)
        self.now_ms = 100_000
        self.records = []
        self.first_offset = 0
        self.managers = {}
        self.addresses = {}
        self.appends = []
        self.replies = []
        self.keys = []
        self.key_and_body_of = {}
        self.unanswered = {}
        self.running = []
        self.runs = {}
        self.reported_not_run = set()
        for number, instance in enumerate(INSTANCES):
            self.start(instance, 1, number * HALF_MARGIN_MS)
            self.catch_up(instance)

    def start(self, instance, incarnation, skew_ms):
        """Start an incarnation of an instance with a skewed wall clock."""
        address = make_address(instance, incarnation)
        self.addresses[instance] = address
        manager = KeyManager(SETTINGS, address, self.rng)
        manager.set_wall_clock(self.now_ms + skew_ms - HALF_MARGIN_MS, self.now_ms)
        self.managers[instance] = manager

    def process_results(self, instance, results):
        """Carry out the results of a key manager."""
        for result in results:
            if isinstance(result, AppendRecord):
                self.appends.append((self.managers[instance], instance, result))
            elif isinstance(result, ReadRecords):
                self.read(instance, result)
            elif isinstance(result, KeyGranted):
                self.running.append((self.managers[instance], instance, result[0]))
            elif isinstance(result, KeyRefused):
                self.record_answer(result.request_id, result.ran)
            else:
                assert not isinstance(result, StartPermitted)
                self.record_answer(result.request_id, None)

    def record_answer(self, request_id, ran):
        """Record the final answer to a request."""
        del self.unanswered[request_id]
        if ran is Ran.NOT_RUN:
            self.reported_not_run.add(self.key_and_body_of[request_id])

    def read(self, instance, request):
        """Answer a read from the log; the reply is delivered later."""
        first = max(self.first_offset, request.from_offset)
        records = tuple(self.records[first : first + request.max_records])
        end = len(self.records)
        reply = RecordsRead('claims', True, records, self.first_offset, end)
        self.replies.append((self.managers[instance], instance, reply))

    @rule(instance=instances, age_ms=st.integers(-HALF_MARGIN_MS, HALF_MARGIN_MS))
    def submit_new(self, instance, age_ms):
        """Send a request with a new key from a caller whose clock is skewed."""
        self.keys.append(make_uuid7(self.now_ms - age_ms, self.rng))
        self.submit(instance, self.keys[-1], 'f')

    @rule(instance=instances, index=indices, body=st.sampled_from('ffffg'))
    @precondition(lambda self: self.keys)
    def submit_again(self, instance, index, body):
        """Retry one of the latest keys."""
        self.submit(instance, self.keys[-1 - index % len(self.keys)], body)

    def submit(self, instance, key, body):
        """Send a request to an instance."""
        request_id = f'r{len(self.key_and_body_of)}'
        # Each pair of a key and a body is a separate request.
        self.key_and_body_of[request_id] = (key, body)
        self.unanswered[request_id] = self.managers[instance]
        manager = self.managers[instance]
        view = self.view(instance)
        results = manager.admit(request_id, key, body, view, self.now_ms)
        self.process_results(instance, results)

    def view(self, instance):
        """Return the current members."""
        return MemberView(self.addresses[instance], tuple(self.addresses.values()))

    @rule(index=indices, outcome=st.sampled_from(('appended', 'unknown', 'none')))
    @precondition(lambda self: self.appends)
    def complete_append(self, index, outcome):
        """Complete an append and deliver its reply, an unknown result or nothing."""
        pending_append = self.appends.pop(index % len(self.appends))
        offset = len(self.records)
        self.records.append(LogRecord(offset, pending_append[2].payload))
        self.finish_append(pending_append, outcome, offset)

    def fail_append(self, index, outcome):
        """Report an append as refused or unknown."""
        pending_append = self.appends.pop(index % len(self.appends))
        self.finish_append(pending_append, outcome, -1)
        if outcome == 'unknown':
            # It may complete at any later time, when no instance waits for it.
            self.appends.append(pending_append)

    def finish_append(self, pending_append, outcome, offset):
        """Report the result of an append to its instance unless that crashed."""
        manager, instance, append = pending_append
        if outcome == 'none' or self.managers[instance] is not manager:
            return
        finished = AppendFinished(append.append_id, 'claims', outcome, offset)
        self.process_results(instance, manager.append_finished(finished, self.now_ms))

    @rule(index=indices, ok=st.sampled_from((True,) * 7 + (False,)))
    @precondition(lambda self: self.replies)
    def deliver_read(self, index, ok):
        """Deliver the reply to a read, in any order."""
        manager, instance, reply = self.replies.pop(index % len(self.replies))
        if self.managers[instance] is manager:
            reply = reply if ok else RecordsRead('claims', False)
            self.process_results(instance, manager.records_read(reply, self.now_ms))

    @rule()
    @precondition(lambda self: self.appends)
    def append_and_read(self):
        """Complete the oldest append and let all instances read it without a fault."""
        self.complete_append(0, 'appended')
        for instance in INSTANCES:
            self.catch_up(instance)

    @rule(
        kind=st.sampled_from(('append', 'read', 'retention', 'restart')),
        instance=instances,
        index=indices,
        outcome=st.sampled_from(('refused', 'unknown')),
    )
    def fail(self, kind, instance, index, outcome):
        """Inject one fault."""
        if kind == 'append' and self.appends:
            self.fail_append(index, outcome)
        elif kind == 'read' and self.replies:
            self.lose_read(index)
        elif kind == 'retention':
            self.expire_records(1 + index)
        elif kind == 'restart':
            self.restart(instance)

    @rule(instance=instances)
    def catch_up(self, instance):
        """Let an instance read to the end of the log without a fault."""
        manager = self.managers[instance]
        for _ in range(CATCH_UP_ROUNDS):
            self.process_results(
                instance, manager.tick(self.view(instance), self.now_ms)
            )
            own_replies = [r[2] for r in self.replies if r[0] is manager]
            self.replies = [r for r in self.replies if r[0] is not manager]
            for reply in own_replies:
                self.process_results(instance, manager.records_read(reply, self.now_ms))

    def lose_read(self, index):
        """Lose the reply to a read."""
        self.replies.pop(index % len(self.replies))

    def expire_records(self, count):
        """Expire the oldest records of the log."""
        self.first_offset = min(self.first_offset + count, len(self.records))

    @rule(duration_ms=st.sampled_from((1, 20, 20, 500, 500, 2_000, 9_000)))
    def advance(self, duration_ms):
        """Advance the clock and tick all instances."""
        self.now_ms += duration_ms
        for instance, manager in self.managers.items():
            self.process_results(
                instance, manager.tick(self.view(instance), self.now_ms)
            )

    def restart(self, instance):
        """Crash an instance and restart it without any state."""
        crashed = self.managers[instance]
        self.unanswered = {
            r: manager for r, manager in self.unanswered.items() if manager != crashed
        }
        incarnation = self.addresses[instance].incarnation + 1
        self.start(instance, incarnation, self.rng.randint(0, 2 * HALF_MARGIN_MS))

    @rule(index=indices, end=st.sampled_from(('ran', 'broken', 'shed')))
    @precondition(lambda self: self.running)
    def run_or_shed(self, index, end):
        """Run a request whose key was granted, or shed it."""
        manager, instance, request_id = self.running.pop(index % len(self.running))
        if self.managers[instance] is not manager:
            return
        if end == 'shed':
            self.record_answer(request_id, Ran.NOT_RUN)
            results = manager.settle_not_run(request_id, self.now_ms)
        else:
            results = self.run(manager, instance, request_id, end)
        self.process_results(instance, results)

    def run(self, manager, instance, request_id, end):
        """Run a request at an endpoint."""
        view = self.view(instance)
        permitted = manager.announce_start(request_id, 'e', '', view, self.now_ms)
        assert permitted == [StartPermitted(request_id)]
        key = self.key_and_body_of[request_id]
        self.runs[key] = self.runs.get(key, 0) + 1
        self.record_answer(request_id, None)
        if end == 'broken':
            return manager.settle_unknown(request_id, self.now_ms)
        return manager.finish(request_id, 200, '', b'done', self.now_ms)

    @invariant()
    def at_most_once_holds(self):
        """Check that no key ran twice and that each reported not-run is true."""
        assert all(count == 1 for count in self.runs.values()), 'a request ran twice'
        by_key = [key for key, _body in self.runs]
        assert len(by_key) == len(set(by_key)), 'two requests ran under one key'
        assert not self.reported_not_run & self.runs.keys(), (
            'not-run was reported although the request ran'
        )

    def teardown(self):
        """Let the log work again and check that each request is answered."""
        for _ in range(4):
            self.now_ms += RECOVERY_STEP_MS
            self.replies.clear()
            while self.running:
                self.run_or_shed(0, 'ran')
            for instance, manager in self.managers.items():
                results = manager.tick(self.view(instance), self.now_ms)
                self.process_results(instance, results)
        self.at_most_once_holds()
        assert not self.unanswered, 'a request was not answered'


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)
