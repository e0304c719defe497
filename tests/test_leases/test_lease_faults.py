"""Never two holders, under drift, pauses, delays, losses and outages."""

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
from savorychute.leases.lease_keeper import LeaseKeeper
from savorychute.leases.lease_settings import LeaseSettings
from savorychute.leases.order_desk import OrderDesk
from savorychute.leases.order_request import LOAD, OrderRequest

STEP_MS = 250
RUN_MS = 150_000
# No margins but that for drift, so that the test stands on the bare rule.
SETTINGS = LeaseSettings(
    stop_margin_ms=0, order_flight_ms=0, poll_interval_ms=500, claim_backoff_ms=0
)
MAX_ORDER_FLIGHT_MS = 20_000
RETENTION_MS = 40_000
LEASE = 'placement'


class Candidate:
    """One instance with a clock of its own rate, and its queue of answers."""

    def __init__(self, name, rate, seed):
        self.name = name
        self.rate = rate
        self.start_ms = seed * 1_000_003
        self.keeper = LeaseKeeper(SETTINGS, name, random.Random(seed))
        self.keeper.want(LEASE)
        self.desk = OrderDesk(SETTINGS, self.keeper)
        self.desk.set_endpoints({'e': make_endpoint('e')})
        self.paused_until_ms = 0
        self.waiting = []
        self.orders = 0

    def clock_ms(self, true_ms):
        """Return the instance's own time."""
        return self.start_ms + int(true_ms * self.rate)

    def fencing(self, true_ms):
        """Return what the instance believes to hold."""
        return self.keeper.holds(LEASE, self.clock_ms(true_ms))


class World:
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
        self.count = 0
        self.newest_order = -1
        self.taken = []
        self.holders = set()

    def after(self, delay_ms, call):
        """Call later."""
        self.count += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.count, call))

    def run(self, until_ms):
        """Advance the true time."""
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            call()
            self.check()
        self.now_ms = until_ms

    def check(self):
        """A paused instance counts: it would act on its belief when it wakes."""
        holders = [
            each for each in self.candidates if each.fencing(self.now_ms) is not None
        ]
        assert len(holders) <= 1, [each.name for each in holders]
        self.holders.update(each.name for each in holders)

    def expire(self):
        """Let the log drop what is older than its retention."""
        oldest_ms = self.now_ms - RETENTION_MS
        count = sum(at_ms < oldest_ms for at_ms in self.appended_ms)
        if count:
            self.log.expire('leases', count)

    def replace(self, number):
        """Start an instance anew under the same name."""
        old = self.candidates[number]
        self.count += 1
        fresh = Candidate(old.name, old.rate, 1_000 + self.count)
        self.candidates[number] = fresh
        self.start(fresh)

    def start(self, candidate):
        """Begin an instance's ticks."""
        self.after(self.rng.randrange(STEP_MS), lambda: self.tick(candidate))

    def tick(self, candidate):
        """Let an instance work, unless it is paused."""
        if candidate not in self.candidates:
            return
        if self.now_ms < candidate.paused_until_ms:
            wakes_ms = candidate.paused_until_ms
            self.after(wakes_ms - self.now_ms, lambda: self.tick(candidate))
            return
        clock_ms = candidate.clock_ms(self.now_ms)
        for answer in candidate.waiting:
            self.perform(candidate, answer(clock_ms))
        candidate.waiting.clear()
        self.perform(candidate, candidate.keeper.tick(clock_ms))
        candidate.orders += 1
        order_id = f'{candidate.name}.{candidate.orders}'
        request = OrderRequest(order_id, LEASE, 'e', LOAD, 'large', 'a test')
        self.perform(candidate, candidate.desk.request_order(request, clock_ms))
        self.after(STEP_MS, lambda: self.tick(candidate))

    def deliver(self, candidate, answer):
        """Answer later, or when a paused instance wakes."""
        delay_ms = self.rng.randrange(1, self.max_delay_ms)
        self.after(delay_ms, lambda: candidate.waiting.append(answer))

    def perform(self, candidate, actions):
        """Carry out an instance's actions."""
        for action in actions:
            if isinstance(action, AppendRecord):
                self.append(candidate, action)
            elif isinstance(action, ReadRecords):
                self.read(candidate, action)
            elif isinstance(action, SendOrder):
                # The host may be paused between its check and the first byte.
                flight_ms = self.rng.randrange(1, MAX_ORDER_FLIGHT_MS)
                self.after(flight_ms, lambda a=action: self.order(candidate, a))

    def append(self, candidate, action):
        """Append after a delay, and answer after another."""

        def arrive():
            finished = self.log.append(action)
            if finished.outcome == 'appended':
                self.appended_ms.append(self.now_ms)
            if self.rng.random() < self.loss_share:
                finished = AppendFinished(action.append_id, action.stream, 'unknown')
            self.deliver(
                candidate, lambda now: candidate.keeper.append_finished(finished, now)
            )

        self.after(self.rng.randrange(1, self.max_delay_ms), arrive)

    def read(self, candidate, action):
        """Read, and answer after a delay."""
        read = self.log.read(action)
        if self.rng.random() >= self.loss_share:
            self.deliver(
                candidate, lambda now: candidate.keeper.records_read(read, now)
            )

    def order(self, candidate, action):
        """An endpoint that checks: it takes no number below one it has seen."""
        outcome = 'fenced'
        if action.fencing >= self.newest_order:
            self.newest_order = action.fencing
            self.taken.append(action.fencing)
            outcome = 'done'
        finished = OrderFinished(action.order_id, 'e', outcome)
        self.deliver(
            candidate, lambda now: candidate.desk.order_finished(finished, now)
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


def inject(world, kind, number, duration_ms):
    if kind == 'pause':
        world.candidates[number].paused_until_ms = world.now_ms + duration_ms
    elif kind == 'expire':
        world.expire()
    elif kind == 'replace':
        world.replace(number)
    elif kind == 'down':
        world.log.is_up = False
    elif kind == 'lossy':
        world.loss_share = 0.4
    elif kind == 'slow':
        world.max_delay_ms = 9_000
    else:
        world.log.is_up = True
        world.loss_share = 0.0
        world.max_delay_ms = 50


@settings(max_examples=25, deadline=None, derandomize=True)
@given(RATES, FAULTS, st.integers(0, 99))
def test_never_two_holders_and_no_old_order_after_a_newer_one(rates, faults, seed):
    """Three instances want one lease while everything goes wrong.

    Hosts are suspended for up to a minute, appends land late or their replies
    are lost, and clocks differ by one in a hundred.  An order may leave long
    after the lease was checked.
    """
    world = World(rates, seed)
    for candidate in world.candidates:
        world.start(candidate)
    for at_ms, kind, number, duration_ms in sorted(faults):
        world.run(at_ms)
        inject(world, kind, number, duration_ms)
    world.run(RUN_MS)
    inject(world, 'heal', 0, 0)
    world.run(RUN_MS + 90_000)
    assert world.holders
    assert world.taken == sorted(world.taken)
    # After all is well again somebody holds, and its orders are taken.
    world.taken.clear()
    world.run(RUN_MS + 120_000)
    assert world.taken
