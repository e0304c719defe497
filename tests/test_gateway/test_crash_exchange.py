"""Tests of the exchange of crashes, successes and verdicts between instances."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gateway_fakes import FakeTimers

from savorychute.clock import ManualClock
from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.crashes.crash_judge import EXPIRY_INTERVAL_MS
from savorychute.crashes.request_traits import make_traits
from savorychute.crashes.verdict_table import LIFTED_MEMORY_MS
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.recovery.crash_exchange import SENDS, CrashExchange
from savorychute.gateway.recovery.crash_guard import CrashGuard
from savorychute.gateway.recovery.crash_history_fetcher import (
    REQUEST_INTERVAL_MS,
    REQUEST_PERIOD_MS,
    CrashHistoryFetcher,
)
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_report import CrashReport
from savorychute.gateway.recovery.verdict_news import VerdictNews
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.wire.peer_codec import PeerCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys

NAMES = ('k0', 'k1', 'k2')
POISON = make_traits('poison')
START_MS = 100_000
KEYS = PeerKeys(PeerKey(1, b'k' * 32))


class Group:
    """Instances that exchange messages at once; those in ``lost`` receive none."""

    def __init__(self, names=NAMES):
        self.clock = ManualClock(START_MS)
        self.members = tuple(
            MemberAddress(name, 1, 'kerala', 'kochi', '10.0.0.1', 80, 70)
            for name in names
        )
        self.lost = set()
        self.sent = []
        self.guards, self.exchanges = {}, {}
        self.timers = FakeTimers(self.clock)
        for member in self.members:
            self.start(member)

    def start(self, member):
        """Start an instance that knows nothing."""
        name = member.instance
        guard = CrashGuard(self.clock.now_ms())
        exchange = CrashExchange(guard, random.Random(name), self.clock, self.timers)
        exchange.connect(lambda action: self._deliver(name, action))
        exchange.set_view(MemberView(member, self.members))
        self.guards[name], self.exchanges[name] = guard, exchange

    def _deliver(self, sender, action):
        self.sent.append((sender, action))
        if action.instance not in self.lost:
            self.receive(action)

    def receive(self, action):
        message = _transmit(action.message)
        exchange = self.exchanges[action.instance]
        if isinstance(message, CrashReport):
            exchange.handle_report(message)
        else:
            exchange.handle_verdicts(message)

    def advance(self, duration_ms):
        """Advance the time; instances send what is due each 100 ms."""
        for _ in range(0, duration_ms, 100):
            self.timers.advance(100)
            for member in self.members:
                view = MemberView(member, self.members)
                self.exchanges[member.instance].set_view(view)

    def crash(self, name, endpoint, traits=POISON):
        """Let an instance lose a request with an endpoint that is gone."""
        run, now_ms = EndpointRun(endpoint), self.clock.now_ms()
        self.guards[name].record_interruption('pool', traits, run, now_ms)
        self.guards[name].endpoint_ended(run, now_ms)

    def decide(self, name, traits=POISON):
        """Return what an instance decides on a request."""
        decision = self.guards[name].decide('pool', traits, self.clock.now_ms())
        return decision.kind


def _transmit(message):
    sender = PeerCodec('k0', 1, KEYS)
    return PeerCodec('k1', 1, KEYS).decode(sender.encode('k1', message)).message


@pytest.fixture
def group():
    return Group()


def test_crashes_observed_by_different_instances_are_summed(group):
    """Guards against a poison request that is sent to another instance each time.

    Each instance observes only one crash; together they observe three.
    """
    for number, name in enumerate(NAMES):
        group.crash(name, f'd{number}')
    assert {group.decide(name) for name in NAMES} == {CrashDecisionKind.REFUSED}


def test_each_crash_is_sent_several_times_to_each_other_instance(group):
    group.crash('k0', 'd0')
    group.advance(8_000)
    receivers = Counter(
        action.instance
        for sender, action in group.sent
        if sender == 'k0' and isinstance(action.message, CrashReport)
    )
    assert receivers == {'k1': SENDS, 'k2': SENDS}


def test_instance_that_misses_a_message_learns_the_verdict(group):
    """Guards against a part that crashes endpoints through one instance alone."""
    group.lost.add('k2')
    for number in range(3):
        group.crash('k0', f'd{number}')
    assert group.decide('k2') is CrashDecisionKind.FREE
    group.lost.clear()
    group.advance(600)
    assert group.decide('k2') is CrashDecisionKind.REFUSED


def test_started_instance_learns_which_requests_crash_endpoints(group):
    """Guards against a request that crashes three more endpoints after each start."""
    for number in range(3):
        group.crash('k0', f'd{number}')
    group.advance(28_000)
    group.start(group.members[2])
    view = MemberView(group.members[2], group.members)
    request = CrashHistoryFetcher(random.Random(1)).tick(view, group.clock.now_ms())[0]
    assert isinstance(request.message, CrashQuestion)
    assert group.decide('k2') is CrashDecisionKind.FREE
    for action in group.exchanges['k0'].respond(group.members[2]):
        group.receive(action)
    assert group.decide('k2') is CrashDecisionKind.REFUSED


def test_started_instance_learns_which_parts_succeed(group):
    """Guards against a verdict on a popular part by those that know only crashes."""
    popular = make_traits('r', ['50'])
    group.guards['k0'].record_success('pool', popular, EndpointRun('d9'), START_MS)
    group.advance(1_000)
    for number in range(2):
        group.crash('k0', f'd{number}', make_traits(f'r{number}', ['50']))
        group.advance(200)
    group.start(group.members[2])
    for action in group.exchanges['k0'].respond(group.members[2]):
        group.receive(action)
    group.advance(10_000)
    group.lost |= {'k0', 'k1'}
    for number in range(2, 4):
        group.crash('k2', f'd{number}', make_traits(f'r{number}', ['50']))
        group.advance(200)
    assert group.decide('k2', make_traits('r9', ['50'])) is CrashDecisionKind.FREE


def test_instance_that_knows_successes_tells_those_that_accuse(group):
    """Guards against a popular part that is suspected where it was never seen."""
    popular = make_traits('r', ['50'])
    group.guards['k1'].record_success('pool', popular, EndpointRun('d9'), START_MS)
    group.advance(100)
    group.crash('k0', 'd0', popular)
    assert group.decide('k0', make_traits('s', ['50'])) is CrashDecisionKind.CONFINED
    group.advance(100)
    assert group.decide('k0', make_traits('s', ['50'])) is CrashDecisionKind.FREE


def test_started_instance_asks_until_experienced_ones_have_answered(group):
    """Guards against the whole history from three instances, twice a second."""
    group.advance(12_000)
    started = group.members[2]
    group.start(started)
    exchange = group.exchanges['k2']
    for name in ('k0', 'k1'):
        assert not exchange.is_caught_up
        group.exchanges[name]._guard.inform()
        for action in group.exchanges[name].respond(started):
            group.receive(action)
    assert exchange.is_caught_up


def test_few_of_many_instances_reply_that_a_part_succeeds():
    """Guards against a reply of each instance to each crash in a large fleet."""
    group = Group([f'k{number}' for number in range(60)])
    popular = make_traits('r', ['50'])
    for name, guard in group.guards.items():
        if name != 'k0':
            guard.record_success('pool', popular, EndpointRun('d9'), START_MS)
    group.advance(100)
    group.crash('k0', 'd0', popular)
    group.advance(400)
    replies = {
        sender
        for sender, action in group.sent
        if isinstance(action.message, CrashReport) and not action.message.losses
    }
    assert 1 <= len(replies) <= 25


def test_lifted_verdict_is_lifted_at_all_instances(group):
    """Guards against a sound part that some instances go on refusing."""
    for number in range(3):
        group.crash('k0', f'd{number}')
    key = next(iter(group.guards['k1'].judge.verdicts)).key
    group.guards['k1'].judge.lift(key, 'operator', group.clock.now_ms())
    assert {group.decide(name) for name in NAMES} == {CrashDecisionKind.FREE}
    group.advance(2_000)
    assert {group.decide(name) for name in NAMES} == {CrashDecisionKind.FREE}


def test_late_news_does_not_restore_a_lifted_verdict(group):
    """Guards against a datagram that overtakes the lifting of its verdict."""
    for number in range(3):
        group.crash('k0', f'd{number}')
    late = next(
        action
        for _, action in group.sent
        if isinstance(action.message, VerdictNews) and action.instance == 'k2'
    )
    key = next(iter(group.guards['k0'].judge.verdicts)).key
    group.guards['k0'].judge.lift(key, 'operator', group.clock.now_ms())
    group.receive(late)
    assert group.decide('k2') is CrashDecisionKind.FREE


def test_verdict_that_returns_is_not_taken_for_stored(group):
    """Guards against a verdict that the store never gets, as it held one before."""
    exchange = group.exchanges['k0']
    for number in range(3):
        group.crash('k0', f'd{number}')
    verdict = next(iter(group.guards['k0'].judge.verdicts))
    exchange.record_stored(verdict)
    group.guards['k0'].judge.lift(verdict.key, 'operator', group.clock.now_ms())
    group.advance(LIFTED_MEMORY_MS + EXPIRY_INTERVAL_MS + 1_000)
    assert verdict.key not in exchange.stored


def test_requests_end_after_the_request_period(group):
    """Guards against requests that continue for the whole run of an instance."""
    fetcher = CrashHistoryFetcher(random.Random(1))
    view = MemberView(group.members[0], group.members)
    asked = sum(len(fetcher.tick(view, now_ms)) for now_ms in range(0, 60_000, 100))

    assert asked == 2 * REQUEST_PERIOD_MS // REQUEST_INTERVAL_MS
