"""Tests of usage counts, of their windows of time, and of their receivers."""

from __future__ import annotations

import random

import pytest

from savorychute.clock import ManualClock
from savorychute.gateway.duties.duty_candidates import CANDIDATE_COUNT, DutyCandidates
from savorychute.gateway.duties.true_time import TrueTime
from savorychute.gateway.duties.usage_aggregator import MAX_WINDOWS, UsageAggregator
from savorychute.gateway.duties.usage_broadcaster import UsageBroadcaster
from savorychute.gateway.duties.usage_counter import UsageCounter
from savorychute.gateway.duties.usage_windows import UsageWindows
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

WINDOWS = UsageWindows(5_000, 10_000)
TRUE_MS = 1_800_000_000_000
WINDOW = WINDOWS.window_at(TRUE_MS)


class FakeWallClock:
    """A time of day that may be wrong."""

    def __init__(self, clock, error_ms=0):
        self._clock = clock
        self.error_ms = error_ms

    def wall_ms(self):
        return TRUE_MS + self._clock.now_ms() + self.error_ms


@pytest.fixture
def clock():
    return ManualClock(0)


def make_counter(clock, error_ms=0):
    time = TrueTime(clock, FakeWallClock(clock, error_ms))
    return UsageCounter(WINDOWS, time), time


def member(number, incarnation=1):
    host = f'10.0.0.{number}'
    domain = f'hall-{number % 3}'
    return MemberAddress(f'k{number}', incarnation, 'kerala', domain, host, 80, 70)


MEMBERS = tuple(member(number) for number in range(9))


def make_broadcaster(clock, number, members=MEMBERS):
    counter, _ = make_counter(clock)
    candidates = DutyCandidates()
    candidates.set_view(MemberView(members[number], members))
    return UsageBroadcaster(candidates, counter, UsageAggregator()), counter


@pytest.mark.parametrize('error_ms', [-2_400, 2_400])
def test_wrong_wall_clock_shifts_no_window(clock, error_ms):
    """Guards against requests that are counted in the previous window.

    The time of day of a third of the instances is wrong by 2.4 s; the median of all
    reported clocks corrects it.
    """
    counter, time = make_counter(clock, error_ms)
    for number in range(12):
        error = error_ms if number % 3 == 0 else 0
        time.record_wall_time(
            f'k{number}', TRUE_MS + clock.now_ms() + error, clock.now_ms()
        )

    counter.record_start('kochi', clock.now_ms())

    assert counter.make_message(1, all_windows=True).windows[0].window == WINDOW


def test_wall_clock_jump_shifts_no_window(clock):
    wall = FakeWallClock(clock)
    time = TrueTime(clock, wall)
    for number in range(12):
        time.record_wall_time(f'k{number}', wall.wall_ms(), clock.now_ms())
    wall.error_ms = 2_400

    assert time.now_ms() == TRUE_MS


def test_windows_start_in_true_time(clock):
    counter, _ = make_counter(clock)
    counter.record_start('kochi', 4_999)
    counter.record_start('kochi', 5_000)
    counter.record_start('', 5_000)

    message = counter.make_message(1, all_windows=True)

    assert [(each.window, each.counts) for each in message.windows] == [
        (WINDOW, (('kochi', 1),)),
        (WINDOW + 1, (('kochi', 1),)),
    ]


def test_overdue_windows_are_dropped(clock):
    counter, _ = make_counter(clock)
    counter.record_start('kochi', 0)
    clock.advance_to(15_001)

    assert not counter.make_message(1, all_windows=True).windows


def test_counts_of_an_ended_run_are_kept(clock):
    """Guards against missing counts that an instance sent before it was killed."""
    aggregator = UsageAggregator()
    counter, _ = make_counter(clock)
    counter.record_start('kochi', 0)
    aggregator.apply('k0', counter.make_message(1, all_windows=True))
    restarted, _ = make_counter(clock)
    restarted.record_start('kochi', 100)
    aggregator.apply('k0', restarted.make_message(2, all_windows=True))

    assert aggregator.total(WINDOW) == {'kochi': 2}


def test_outdated_message_is_ignored(clock):
    aggregator = UsageAggregator()
    counter, _ = make_counter(clock)
    counter.record_start('kochi', 0)
    old = counter.make_message(1, all_windows=True)
    clock.advance_to(1_000)
    counter.record_start('kochi', 1_000)
    aggregator.apply('k0', counter.make_message(1, all_windows=True))
    aggregator.apply('k0', old)

    assert aggregator.total(WINDOW) == {'kochi': 2}


def test_window_is_complete_when_all_members_have_reported_it(clock):
    aggregator = UsageAggregator()
    counter, _ = make_counter(clock)
    clock.advance_to(6_000)
    aggregator.apply('k0', counter.make_message(1, all_windows=True))
    end_ms = WINDOWS.end_ms(WINDOW)

    assert aggregator.is_complete(end_ms, MEMBERS[:1])
    assert not aggregator.is_complete(end_ms, MEMBERS[:2])
    assert not aggregator.is_complete(end_ms, [member(0, incarnation=2)])


def test_all_instances_agree_on_few_candidates(clock):
    broadcasters = [make_broadcaster(clock, number)[0] for number in range(9)]
    chosen = [each._candidates.is_candidate for each in broadcasters]

    assert sum(chosen) == CANDIDATE_COUNT


def test_candidates_receive_the_counts_of_all_instances(clock):
    """Guards against a successor with fewer counts than the previous holder."""
    rng = random.Random(1)
    broadcasters = [make_broadcaster(clock, number) for number in range(9)]
    names = [each.instance for each in MEMBERS]
    for number, (broadcaster, counter) in enumerate(broadcasters):
        for _ in range(rng.randrange(5)):
            counter.record_start('kochi', 0)
        for action in broadcaster.broadcast():
            target = broadcasters[names.index(action.instance)][0]
            target.handle(MEMBERS[number].instance, action.message)
    totals = {
        broadcaster._aggregator.total(WINDOW).get('kochi', 0)
        for broadcaster, _ in broadcasters
        if broadcaster._candidates.is_candidate
    }

    expected = sum(
        each.requests
        for _, counter in broadcasters
        for window in counter.make_message(1, all_windows=True).windows
        for each in window.counts
    )
    assert totals == {expected}


def test_new_candidate_receives_windows_that_have_ended(clock):
    """Guards against incomplete reports after all candidates were killed together."""
    broadcaster, counter = make_broadcaster(clock, 0)
    counter.record_start('kochi', 0)
    clock.advance_to(12_000)
    for _ in range(4):
        broadcaster.broadcast()
    known = {action.instance for action in broadcaster.broadcast()}
    assert not any(action.message.windows for action in broadcaster.broadcast())
    remaining = tuple(each for each in MEMBERS if each.instance not in known)
    broadcaster._candidates.set_view(MemberView(MEMBERS[0], remaining))

    actions = [
        action for action in broadcaster.broadcast() if action.instance not in known
    ]

    assert actions
    assert all(action.message.windows for action in actions)


def test_memory_use_does_not_grow_over_hours(clock):
    """Guards against a candidate that grows until it runs out of memory."""
    aggregator = UsageAggregator()
    counter, _ = make_counter(clock)
    for incarnation in range(400):
        clock.advance_to(5_000 * incarnation)
        counter.record_start('kochi', clock.now_ms())
        aggregator.apply('k0', counter.make_message(incarnation, all_windows=True))

    assert len(aggregator._counts) <= MAX_WINDOWS
    assert len(aggregator._complete_until_ms) < 20
    assert aggregator.total(WINDOW + 399) == {'kochi': 1}
