"""A lease has at most one holder under drift, pauses, delays, losses and outages."""

from __future__ import annotations

import heapq
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from benches.configuration_rig import FakeLog, make_endpoint
from savorychute.actions.append_record import AppendRecord
from savorychute.actions.read_records import ReadRecords
from savorychute.actions.send_order import SendOrder
from savorychute.inputs.append_finished import AppendFinished
from savorychute.inputs.order_finished import OrderFinished
from savorychute.leases.lease_manager import LeaseManager
from savorychute.leases.lease_settings import LeaseSettings
from savorychute.leases.order_handler import OrderHandler
from savorychute.leases.order_request import LOAD, OrderRequest

STEP_MS = 250
RUN_MS = 150_000
# No margins except that for drift, so that the test checks the protocol itself.
SETTINGS = LeaseSettings(
    stop_margin_ms=0, order_flight_ms=0, poll_interval_ms=500, claim_backoff_ms=0
)
MAX_ORDER_FLIGHT_MS = 20_000
RETENTION_MS = 40_000
LEASE = 'placement'


class Candidate:
    """One instance with its own clock rate and a queue of responses."""

    def __init__(self, name, rate, seed):
        self.name = name
        self.rate = rate
        self.start_ms = seed * 1_000_003
        self.manager = LeaseManager(SETTINGS, name, random.Random(seed))
        self.manager.want(LEASE)
        self.handler = OrderHandler(SETTINGS, self.manager)
        self.handler.set_endpoints({'e': make_endpoint('e')})
        self.paused_until_ms = 0
        self.pending_responses = []
        self.orders = 0

    def clock_ms(self, true_ms):
        """Return the time by the instance's clock."""
        return self.start_ms + int(true_ms * self.rate)

    def fencing(self, true_ms):
        """Return the fencing number if the instance considers itself the holder."""
        return self.manager.holds(LEASE, self.clock_ms(true_ms))


class LeaseSimulation:
    """Candidates, a slow and lossy log, and an endpoint that checks fencing."""

    def __init__(self, rates, seed):
        self.rng = random.Random(seed)
        self.candidates = [
            Candidate(f'i{number}', rate, number + 1)
            for number, rate in enumerate(rates)
        ]
        self.log = FakeLog()
        self.appended_ms = []
        self.loss_share = 0.0
        self.max_delay_ms = 50
        self.now_ms = 0
        self.events = []
        self.event_count = 0
        self.highest_fencing = -1
        self.accepted_fencing = []
        self.holders = set()

    def schedule(self, delay_ms, call):
        """Schedule a call after a delay."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.event_count, call))

    def run(self, until_ms):
        """Run events until a time of the simulation."""
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            call()
            self.check()
        self.now_ms = until_ms

    def check(self):
        """Check that there is at most one holder.

        Paused instances count, because they act on their state when they resume.
        """
        holders = [
            candidate
            for candidate in self.candidates
            if candidate.fencing(self.now_ms) is not None
        ]
        assert len(holders) <= 1, [candidate.name for candidate in holders]
        self.holders.update(candidate.name for candidate in holders)

    def expire(self):
        """Drop log records that are older than the retention time."""
        oldest_ms = self.now_ms - RETENTION_MS
        count = sum(at_ms < oldest_ms for at_ms in self.appended_ms)
        if count:
            self.log.expire('leases', count)

    def restart(self, number):
        """Restart an instance under the same name."""
        previous = self.candidates[number]
        self.event_count += 1
        restarted = Candidate(previous.name, previous.rate, 1_000 + self.event_count)
        self.candidates[number] = restarted
        self.start(restarted)

    def start(self, candidate):
        """Start the ticks of an instance."""
        self.schedule(self.rng.randrange(STEP_MS), lambda: self.tick(candidate))

    def tick(self, candidate):
        """Run one tick of an instance, unless it is paused."""
        if candidate not in self.candidates:
            return
        if self.now_ms < candidate.paused_until_ms:
            resume_ms = candidate.paused_until_ms
            self.schedule(resume_ms - self.now_ms, lambda: self.tick(candidate))
            return
        clock_ms = candidate.clock_ms(self.now_ms)
        for response in candidate.pending_responses:
            self.perform(candidate, response(clock_ms))
        candidate.pending_responses.clear()
        self.perform(candidate, candidate.manager.tick(clock_ms))
        candidate.orders += 1
        order_id = f'{candidate.name}.{candidate.orders}'
        request = OrderRequest(order_id, LEASE, 'e', LOAD, 'large', 'a test')
        self.perform(candidate, candidate.handler.request_order(request, clock_ms))
        self.schedule(STEP_MS, lambda: self.tick(candidate))

    def respond(self, candidate, response):
        """Deliver a response after a delay; a paused instance reads it on resuming."""
        delay_ms = self.rng.randrange(1, self.max_delay_ms)
        self.schedule(delay_ms, lambda: candidate.pending_responses.append(response))

    def perform(self, candidate, actions):
        """Execute an instance's actions."""
        for action in actions:
            if isinstance(action, AppendRecord):
                self.append(candidate, action)
            elif isinstance(action, ReadRecords):
                self.read(candidate, action)
            elif isinstance(action, SendOrder):
                # The host may be paused between the check and sending the first byte.
                flight_ms = self.rng.randrange(1, MAX_ORDER_FLIGHT_MS)
                self.schedule(flight_ms, lambda a=action: self.order(candidate, a))

    def append(self, candidate, action):
        """Append after a delay, and respond after another."""

        def arrive():
            finished = self.log.append(action)
            if finished.outcome == 'appended':
                self.appended_ms.append(self.now_ms)
            if self.rng.random() < self.loss_share:
                finished = AppendFinished(action.append_id, action.stream, 'unknown')
            self.respond(
                candidate,
                lambda clock_ms: candidate.manager.append_finished(finished, clock_ms),
            )

        self.schedule(self.rng.randrange(1, self.max_delay_ms), arrive)

    def read(self, candidate, action):
        """Read, and respond after a delay."""
        read = self.log.read(action)
        if self.rng.random() >= self.loss_share:
            self.respond(
                candidate,
                lambda clock_ms: candidate.manager.records_read(read, clock_ms),
            )

    def order(self, candidate, action):
        """Handle an order as an endpoint that refuses outdated fencing numbers."""
        outcome = 'fenced'
        if action.fencing >= self.highest_fencing:
            self.highest_fencing = action.fencing
            self.accepted_fencing.append(action.fencing)
            outcome = 'done'
        finished = OrderFinished(action.order_id, 'e', outcome)
        self.respond(
            candidate,
            lambda clock_ms: candidate.handler.order_finished(finished, clock_ms),
        )


FAULT_KINDS = ['pause', 'pause', 'down', 'lossy', 'slow', 'heal', 'expire', 'replace']
FAULTS = st.lists(
    st.tuples(
        st.integers(0, RUN_MS - 1_000),
        st.sampled_from(FAULT_KINDS),
        st.integers(0, 2),
        st.sampled_from([2_000, 9_000, 14_000, 25_000, 60_000]),
    ),
    max_size=10,
)
RATES = st.tuples(*[st.sampled_from([0.995, 1.0, 1.005])] * 3)


def inject(simulation, kind, number, duration_ms):
    if kind == 'pause':
        simulation.candidates[number].paused_until_ms = simulation.now_ms + duration_ms
    elif kind == 'expire':
        simulation.expire()
    elif kind == 'replace':
        simulation.restart(number)
    elif kind == 'down':
        simulation.log.is_up = False
    elif kind == 'lossy':
        simulation.loss_share = 0.4
    elif kind == 'slow':
        simulation.max_delay_ms = 9_000
    else:
        simulation.log.is_up = True
        simulation.loss_share = 0.0
        simulation.max_delay_ms = 50


@settings(max_examples=25, deadline=None, derandomize=True)
@given(RATES, FAULTS, st.integers(0, 99))
def test_at_most_one_holder_and_no_old_order_after_a_newer_one(rates, faults, seed):
    """Three instances compete for one lease under injected faults.

    Hosts are suspended for up to a minute, appends arrive late or their responses
    are lost, and clock rates differ by up to 1 in 100.  An order may leave long
    after the lease was checked.
    """
    simulation = LeaseSimulation(rates, seed)
    for candidate in simulation.candidates:
        simulation.start(candidate)
    for at_ms, kind, number, duration_ms in sorted(faults):
        simulation.run(at_ms)
        inject(simulation, kind, number, duration_ms)
    simulation.run(RUN_MS)
    inject(simulation, 'heal', 0, 0)
    simulation.run(RUN_MS + 90_000)
    assert simulation.holders
    assert simulation.accepted_fencing == sorted(simulation.accepted_fencing)
    # After all faults end there is a holder, and its orders are accepted.
    simulation.accepted_fencing.clear()
    simulation.run(RUN_MS + 120_000)
    assert simulation.accepted_fencing
