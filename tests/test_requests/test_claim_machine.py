"""Claims under every fault of the log, by a Hypothesis state machine.

Appends land late or never, replies are lost, reads lag or fail, records expire
at any moment, wall clocks differ by up to their margin, instances crash and
come back with nothing in memory, callers send a key to any instance again.
"""

from __future__ import annotations

import random

from claim_scene import make_uuid7
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from key_scene import make_address

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.membership.member_view import MemberView
from savorychute.ran import Ran
from savorychute.requests import (
    KeyKeeper,
    KeyMayRun,
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
AT_REST_MS = 5_000
CATCH_UP_ROUNDS = 4

instances = st.sampled_from(INSTANCES)
indices = st.integers(0, 5)


class ClaimMachine(RuleBasedStateMachine):
    """Three instances before one log of claims."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(1)
        self.now_ms = 100_000
        self.records = []
        self.first_offset = 0
        self.keepers = {}
        self.views = {}
        self.appends = []
        self.replies = []
        self.keys = []
        self.key_of = {}
        self.open = {}
        self.running = []
        self.runs = {}
        self.told_not_run = set()
        for number, instance in enumerate(INSTANCES):
            self.start(instance, 1, number * HALF_MARGIN_MS)
            self.catch_up(instance)

    def start(self, instance, incarnation, skew_ms):
        """Start an incarnation of an instance, its clock a little off."""
        address = make_address(instance, incarnation)
        self.views[instance] = address
        keeper = KeyKeeper(SETTINGS, address, self.rng)
        keeper.set_wall_clock(self.now_ms + skew_ms - HALF_MARGIN_MS, self.now_ms)
        self.keepers[instance] = keeper

    def collect(self, instance, results):
        """Do what a keeper asks for."""
        for result in results:
            if isinstance(result, AppendRecord):
                self.appends.append((self.keepers[instance], instance, result))
            elif isinstance(result, ReadRecords):
                self.read(instance, result)
            elif isinstance(result, KeyMayRun):
                self.running.append((self.keepers[instance], instance, result[0]))
            elif isinstance(result, KeyRefused):
                self.close(result.request_id, result.ran)
            else:
                assert not isinstance(result, StartPermitted)
                self.close(result.request_id, None)

    def close(self, request_id, ran):
        """Note the final answer of a request."""
        del self.open[request_id]
        if ran is Ran.NOT_RUN:
            self.told_not_run.add(self.key_of[request_id])

    def read(self, instance, request):
        """Let the log answer a read; the answer travels on its own."""
        first = max(self.first_offset, request.from_offset)
        records = tuple(self.records[first : first + request.max_records])
        end = len(self.records)
        answer = RecordsRead('claims', True, records, self.first_offset, end)
        self.replies.append((self.keepers[instance], instance, answer))

    @rule(instance=instances, age_ms=st.integers(-HALF_MARGIN_MS, HALF_MARGIN_MS))
    def submit_new(self, instance, age_ms):
        """Let a caller make a key, its clock a little off, and send it."""
        self.keys.append(make_uuid7(self.now_ms - age_ms, self.rng))
        self.submit(instance, self.keys[-1], 'f')

    @rule(instance=instances, index=indices, body=st.sampled_from('ffffg'))
    @precondition(lambda self: self.keys)
    def submit_again(self, instance, index, body):
        """Let a caller send one of the latest keys again."""
        self.submit(instance, self.keys[-1 - index % len(self.keys)], body)

    def submit(self, instance, key, body):
        """Bring a request to an instance."""
        request_id = f'r{len(self.key_of)}'
        # Each body under a key is a request of its own.
        self.key_of[request_id] = (key, body)
        self.open[request_id] = self.keepers[instance]
        keeper = self.keepers[instance]
        view = self.view(instance)
        results = keeper.admit(request_id, key, body, view, self.now_ms)
        self.collect(instance, results)

    def view(self, instance):
        """Return the members, rightly."""
        return MemberView(self.views[instance], tuple(self.views.values()))

    @rule(index=indices, outcome=st.sampled_from(('appended', 'unknown', 'none')))
    @precondition(lambda self: self.appends)
    def land(self, index, outcome):
        """Let an append take effect and its reply come, get lost or never come."""
        place = self.appends.pop(index % len(self.appends))
        offset = len(self.records)
        self.records.append(LogRecord(offset, place[2].payload))
        self.finish_append(place, outcome, offset)

    def fail_append(self, index, outcome):
        """Let an append fail, or seem to."""
        place = self.appends.pop(index % len(self.appends))
        self.finish_append(place, outcome, -1)
        if outcome == 'unknown':
            # It may land at any later time, with nobody waiting for it.
            self.appends.append(place)

    def finish_append(self, place, outcome, offset):
        """Tell an instance of its append, if it still lives."""
        keeper, instance, append = place
        if outcome == 'none' or self.keepers[instance] is not keeper:
            return
        finished = AppendFinished(append.append_id, 'claims', outcome, offset)
        self.collect(instance, keeper.append_finished(finished, self.now_ms))

    @rule(index=indices, ok=st.sampled_from((True,) * 7 + (False,)))
    @precondition(lambda self: self.replies)
    def deliver_read(self, index, ok):
        """Deliver the answer of a read, in any order."""
        keeper, instance, answer = self.replies.pop(index % len(self.replies))
        if self.keepers[instance] is keeper:
            answer = answer if ok else RecordsRead('claims', False)
            self.collect(instance, keeper.records_read(answer, self.now_ms))

    @rule()
    @precondition(lambda self: self.appends)
    def commit(self):
        """Let the oldest append land and everybody read it without a fault."""
        self.land(0, 'appended')
        for instance in INSTANCES:
            self.catch_up(instance)

    @rule(
        kind=st.sampled_from(('append', 'read', 'retention', 'restart')),
        instance=instances,
        index=indices,
        outcome=st.sampled_from(('refused', 'unknown')),
    )
    def fail(self, kind, instance, index, outcome):
        """Let one thing go wrong."""
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
        """Let an instance read to the end without a fault."""
        keeper = self.keepers[instance]
        for _ in range(CATCH_UP_ROUNDS):
            self.collect(instance, keeper.tick(self.view(instance), self.now_ms))
            answers = [r[2] for r in self.replies if r[0] is keeper]
            self.replies = [r for r in self.replies if r[0] is not keeper]
            for answer in answers:
                self.collect(instance, keeper.records_read(answer, self.now_ms))

    def lose_read(self, index):
        """Lose the answer of a read."""
        self.replies.pop(index % len(self.replies))

    def expire_records(self, count):
        """Let the log drop its oldest records."""
        self.first_offset = min(self.first_offset + count, len(self.records))

    @rule(duration_ms=st.sampled_from((1, 20, 20, 500, 500, 2_000, 9_000)))
    def wait(self, duration_ms):
        """Let time pass for everybody."""
        self.now_ms += duration_ms
        for instance, keeper in self.keepers.items():
            self.collect(instance, keeper.tick(self.view(instance), self.now_ms))

    def restart(self, instance):
        """Crash an instance and start it with nothing in memory."""
        dead = self.keepers[instance]
        self.open = {r: keeper for r, keeper in self.open.items() if keeper != dead}
        incarnation = self.views[instance].incarnation + 1
        self.start(instance, incarnation, self.rng.randint(0, 2 * HALF_MARGIN_MS))

    @rule(index=indices, end=st.sampled_from(('ran', 'broken', 'shed')))
    @precondition(lambda self: self.running)
    def run_or_shed(self, index, end):
        """Run a request that may run, or refuse it."""
        keeper, instance, request_id = self.running.pop(index % len(self.running))
        if self.keepers[instance] is not keeper:
            return
        if end == 'shed':
            self.close(request_id, Ran.NOT_RUN)
            results = keeper.not_run(request_id, self.now_ms)
        else:
            results = self.run(keeper, instance, request_id, end)
        self.collect(instance, results)

    def run(self, keeper, instance, request_id, end):
        """Send a request to an endpoint, which runs it."""
        view = self.view(instance)
        permitted = keeper.announce_start(request_id, 'e', '', view, self.now_ms)
        assert permitted == [StartPermitted(request_id)]
        key = self.key_of[request_id]
        self.runs[key] = self.runs.get(key, 0) + 1
        self.close(request_id, None)
        if end == 'broken':
            return keeper.unknown(request_id, self.now_ms)
        return keeper.finish(request_id, 200, '', b'done', self.now_ms)

    @invariant()
    def promises_hold(self):
        """Check that no key runs twice and each not-run is true."""
        assert all(count == 1 for count in self.runs.values()), 'ran twice'
        by_key = [key for key, _body in self.runs]
        assert len(by_key) == len(set(by_key)), 'one key ran two requests'
        assert not self.told_not_run & self.runs.keys(), 'false not-run'

    def teardown(self):
        """Let the log answer again; everyone gets an answer."""
        for _ in range(4):
            self.now_ms += AT_REST_MS
            self.replies.clear()
            while self.running:
                self.run_or_shed(0, 'ran')
            for instance, keeper in self.keepers.items():
                results = keeper.tick(self.view(instance), self.now_ms)
                self.collect(instance, results)
        self.promises_hold()
        assert not self.open, 'a request got no answer'


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)
