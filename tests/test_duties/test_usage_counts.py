"""Tests of what is counted, by which time, and who is told."""

from __future__ import annotations

import random

import pytest

from savorychute.clock import ManualClock
from savorychute.gateway.duties.duty_candidates import CANDIDATES, DutyCandidates
from savorychute.gateway.duties.true_time import TrueTime
from savorychute.gateway.duties.usage_gathering import WINDOWS_KEPT, UsageGathering
from savorychute.gateway.duties.usage_ledger import UsageLedger
from savorychute.gateway.duties.usage_spread import UsageSpread
from savorychute.gateway.duties.usage_windows import UsageWindows
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

WINDOWS = UsageWindows(5_000, 10_000)
TRUE_MS = 1_800_000_000_000
WINDOW = WINDOWS.at(TRUE_MS)


class Wall:
    """A time of day that may be wrong."""

    def __init__(self, clock, error_ms=0):
        self._clock = clock
        self.error_ms = error_ms

    def wall_ms(self):
        return TRUE_MS + self._clock.now_ms() + self.error_ms


@pytest.fixture
def clock():
    return ManualClock(0)


def make_ledger(clock, error_ms=0):
    time = TrueTime(clock, Wall(clock, error_ms))
    return UsageLedger(WINDOWS, time), time


def member(number, incarnation=1):
    host = f'10.0.0.{number}'
    domain = f'hall-{number % 3}'
    return MemberAddress(f'k{number}', incarnation, 'kerala', domain, host, 80, 70)


MEMBERS = tuple(member(number) for number in range(9))


def make_spread(clock, number, members=MEMBERS):
    ledger, _ = make_ledger(clock)
    candidates = DutyCandidates()
    candidates.follow(MemberView(members[number], members))
    return UsageSpread(candidates, ledger, UsageGathering()), ledger


@pytest.mark.parametrize('error_ms', [-2_400, 2_400])
def test_clock_that_jumps_shifts_no_window(clock, error_ms):
    """Requests that a third of the instances counted to the window before.

    Their time of day is set wrong by 2.4 s; what the others say of theirs outvotes it.
    """
    ledger, time = make_ledger(clock, error_ms)
    for number in range(12):
        error = error_ms if number % 3 == 0 else 0
        time.hear(f'k{number}', TRUE_MS + clock.now_ms() + error, clock.now_ms())

    ledger.began('kochi', clock.now_ms())

    assert ledger.told(1, all_windows=True).windows[0].window == WINDOW


def test_clock_that_jumps_while_it_runs_shifts_no_window(clock):
    wall = Wall(clock)
    time = TrueTime(clock, wall)
    for number in range(12):
        time.hear(f'k{number}', wall.wall_ms(), clock.now_ms())
    wall.error_ms = 2_400

    assert time.now_ms() == TRUE_MS


def test_windows_begin_in_the_true_time(clock):
    ledger, _ = make_ledger(clock)
    ledger.began('kochi', 4_999)
    ledger.began('kochi', 5_000)
    ledger.began('', 5_000)

    told = ledger.told(1, all_windows=True)

    assert [(each.window, each.counts) for each in told.windows] == [
        (WINDOW, (('kochi', 1),)),
        (WINDOW + 1, (('kochi', 1),)),
    ]


def test_windows_that_nobody_can_report_any_more_are_dropped(clock):
    ledger, _ = make_ledger(clock)
    ledger.began('kochi', 0)
    clock.advance_to(15_001)

    assert not ledger.told(1, all_windows=True).windows


def test_run_that_has_ended_still_counts(clock):
    """A window that lacked what an instance had told before it was killed."""
    gathering = UsageGathering()
    ledger, _ = make_ledger(clock)
    ledger.began('kochi', 0)
    gathering.take('k0', ledger.told(1, all_windows=True))
    again, _ = make_ledger(clock)
    again.began('kochi', 100)
    gathering.take('k0', again.told(2, all_windows=True))

    assert gathering.total(WINDOW) == {'kochi': 2}


def test_message_that_was_overtaken_changes_nothing(clock):
    gathering = UsageGathering()
    ledger, _ = make_ledger(clock)
    ledger.began('kochi', 0)
    old = ledger.told(1, all_windows=True)
    clock.advance_to(1_000)
    ledger.began('kochi', 1_000)
    gathering.take('k0', ledger.told(1, all_windows=True))
    gathering.take('k0', old)

    assert gathering.total(WINDOW) == {'kochi': 2}


def test_window_is_whole_when_all_members_have_told_it(clock):
    gathering = UsageGathering()
    ledger, _ = make_ledger(clock)
    clock.advance_to(6_000)
    gathering.take('k0', ledger.told(1, all_windows=True))
    end_ms = WINDOWS.end_ms(WINDOW)

    assert gathering.is_whole(end_ms, MEMBERS[:1])
    assert not gathering.is_whole(end_ms, MEMBERS[:2])
    assert not gathering.is_whole(end_ms, [member(0, incarnation=2)])


def test_all_instances_agree_on_few_candidates(clock):
    spreads = [make_spread(clock, number)[0] for number in range(9)]
    chosen = [each._candidates.is_candidate for each in spreads]

    assert sum(chosen) == CANDIDATES


def test_candidates_are_told_by_all(clock):
    """A successor that knew less than the holder before it."""
    rng = random.Random(1)
    spreads = [make_spread(clock, number) for number in range(9)]
    names = [each.instance for each in MEMBERS]
    for number, (spread, ledger) in enumerate(spreads):
        for _ in range(rng.randrange(5)):
            ledger.began('kochi', 0)
        for action in spread.tell():
            target = spreads[names.index(action.instance)][0]
            target.take(MEMBERS[number].instance, action.message)
    totals = {
        spread._gathering.total(WINDOW).get('kochi', 0)
        for spread, _ in spreads
        if spread._candidates.is_candidate
    }

    expected = sum(
        each.requests
        for _, ledger in spreads
        for window in ledger.told(1, all_windows=True).windows
        for each in window.counts
    )
    assert totals == {expected}


def test_new_candidate_is_told_windows_that_have_ended(clock):
    """Reports that lacked most requests after all candidates had been killed together."""
    spread, ledger = make_spread(clock, 0)
    ledger.began('kochi', 0)
    clock.advance_to(12_000)
    for _ in range(4):
        spread.tell()
    known = {action.instance for action in spread.tell()}
    assert not any(action.message.windows for action in spread.tell())
    left = tuple(each for each in MEMBERS if each.instance not in known)
    spread._candidates.follow(MemberView(MEMBERS[0], left))

    told = [action for action in spread.tell() if action.instance not in known]

    assert told
    assert all(action.message.windows for action in told)


def test_counts_of_hours_take_no_more_memory(clock):
    """A candidate that grew until it was ended for want of memory."""
    gathering = UsageGathering()
    ledger, _ = make_ledger(clock)
    for run in range(400):
        clock.advance_to(5_000 * run)
        ledger.began('kochi', clock.now_ms())
        gathering.take('k0', ledger.told(run, all_windows=True))

    assert len(gathering._counts) <= WINDOWS_KEPT
    assert len(gathering._whole_until_ms) < 20
    assert gathering.total(WINDOW + 399) == {'kochi': 1}
