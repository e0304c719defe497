"""Tests of permits for endpoints that state limits."""

from __future__ import annotations

import pytest
from gateway_fakes import START_MS, FakeTimers, ignore_limit

from savorychute.clock import ManualClock
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.limit_table import LimitTable
from savorychute.gateway.permits.permit import Denial, Permit
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_desk import (
    ANSWER_MS,
    MOST_TRIES,
    NO_HOME_MS,
    PERMIT_MS,
    PermitDesk,
)
from savorychute.gateway.permits.permit_home import PermitHome
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

RUN = EndpointRun('e1', 7)
FIRST, LAST = 0, 8


def make_address(name):
    return MemberAddress(name, 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)


def make_view(own, *others):
    addresses = sorted(make_address(name) for name in (own, *others))
    return MemberView(make_address(own), tuple(addresses))


class Desk:
    """A desk whose messages and outcomes are kept."""

    def __init__(self):
        self.clock = ManualClock(START_MS)
        self.timers = FakeTimers(self.clock)
        self.limits = LimitTable(ignore_limit)
        self.desk = PermitDesk(self.limits, self.clock, self.timers)
        self.desk.send = self._send
        self.sent = []
        self.outcomes = []

    def _send(self, action):
        self.sent.append(action)

    def state(self):
        self.limits.record_limit(RUN, 1.0, self.clock.now_ms())

    def ask(self, rank=FIRST):
        return self.desk.request(RUN, rank, self.outcomes.append)


@pytest.fixture
def alone():
    """An instance that is its own home, whose bucket has filled."""
    desk = Desk()
    desk.state()
    desk.desk.follow(make_view('k0'))
    assert isinstance(desk.ask(), Denial)
    desk.timers.advance(30_000)
    return desk


@pytest.fixture
def guest():
    """An instance whose home is another one."""
    desk = Desk()
    desk.state()
    names = [f'k{number}' for number in range(9)]
    for own in names:
        desk.desk.follow(make_view(own, *(each for each in names if each != own)))
        if desk.ask() is None:
            return desk
        desk.timers.advance(NO_HOME_MS * 10)
    raise AssertionError('no other instance is the home')


def test_endpoint_without_a_limit_needs_no_permit():
    desk = Desk()

    assert isinstance(desk.ask(), Permit)
    assert desk.desk.may_send(RUN, None, START_MS)


def test_call_without_a_permit_may_not_leave(alone):
    now_ms = alone.clock.now_ms()

    assert not alone.desk.may_send(RUN, None, now_ms)
    assert not alone.desk.may_send(RUN, Permit(EndpointRun('e1', 8), now_ms), now_ms)


def test_permit_ends_soon(alone):
    """Guards against permits that are used together, long after they were counted."""
    permit = alone.ask()
    now_ms = alone.clock.now_ms()

    assert alone.desk.may_send(RUN, permit, now_ms + PERMIT_MS)
    assert not alone.desk.may_send(RUN, permit, now_ms + PERMIT_MS + 1)


def test_permit_counts_from_the_question_and_not_from_its_answer(guest):
    asked_ms = guest.clock.now_ms()
    guest.timers.advance(ANSWER_MS - 1)
    guest.desk.take_answer(PermitAnswer(guest.sent[-1].message.sequence, 0))

    assert guest.outcomes == [Permit(RUN, asked_ms + PERMIT_MS)]


def test_calls_of_the_last_tier_leave_some_to_the_others(alone):
    taken = 0
    while isinstance(alone.ask(LAST), Permit):
        taken += 1

    assert taken
    assert isinstance(alone.ask(FIRST), Permit)


def test_denied_call_is_not_asked_for_again_before_there_can_be_one(guest):
    """Guards against a question for each request while an endpoint takes nothing."""
    guest.desk.take_answer(PermitAnswer(guest.sent[-1].message.sequence, 700))
    asked = len(guest.sent)

    assert guest.outcomes == [Denial(700)]
    assert guest.ask(LAST) == Denial(700)
    assert len(guest.sent) == asked
    guest.timers.advance(700)
    assert guest.ask(LAST) is None


def test_denial_of_a_lower_tier_says_nothing_of_a_higher_one(guest):
    guest.desk.take_answer(PermitAnswer(guest.sent[-1].message.sequence, 0))
    guest.ask(LAST)
    guest.desk.take_answer(PermitAnswer(guest.sent[-1].message.sequence, 700))

    assert guest.ask(FIRST) is None


def test_home_that_does_not_answer_is_asked_once_more(guest):
    """Guards against calls without a permit where a message is lost."""
    guest.timers.advance(MOST_TRIES * ANSWER_MS)

    assert len(guest.sent) == MOST_TRIES
    assert guest.outcomes == [Denial(NO_HOME_MS)]


def test_answer_that_comes_late_is_of_no_use(guest):
    first = guest.sent[0].message.sequence
    guest.timers.advance(MOST_TRIES * ANSWER_MS)
    guest.desk.take_answer(PermitAnswer(first, 0))

    assert guest.outcomes == [Denial(NO_HOME_MS)]


def test_instance_that_is_not_the_home_grants_nothing(guest):
    """Guards against two instances that both count the calls of an endpoint."""
    answer = guest.desk.answer(PermitQuestion(3, RUN, 1.0, 0, 0))

    assert answer == PermitAnswer(3, NO_HOME_MS)


def test_home_learns_a_limit_from_whoever_asks():
    desk = Desk()
    desk.desk.follow(make_view('k0'))
    desk.desk.answer(PermitQuestion(3, RUN, 2.5, 400, 0))

    assert desk.limits.limit_per_s(RUN) == 2.5


def test_home_that_saw_the_end_of_a_limit_lets_others_call(alone):
    alone.limits.record_no_limit(RUN, alone.clock.now_ms())

    assert alone.desk.answer(PermitQuestion(3, RUN, 1.0, 900, 0)).wait_ms == 0


def test_home_that_was_another_for_a_while_begins_with_nothing(alone):
    """Guards against calls that two homes have saved up."""
    alone.desk.follow(make_view('k0', *(f'j{number}' for number in range(40))))
    alone.desk.follow(make_view('k0'))

    assert isinstance(alone.ask(), Denial)


def test_limit_of_nothing_leaves_a_call_now_and_then():
    home = PermitHome()
    home.take(RUN, 0.0, 0, 0)

    assert home.take(RUN, 0.0, 0, 10_000) == 0


def test_denial_under_a_limit_says_nothing_of_a_higher_one(guest):
    """Guards against an endpoint that is left out after its limit has risen."""
    guest.desk.take_answer(PermitAnswer(guest.sent[-1].message.sequence, 9_000))
    assert guest.ask() == Denial(9_000)
    assert guest.desk.is_scarce(RUN, guest.clock.now_ms())

    guest.limits.record_limit(RUN, 50.0, guest.clock.now_ms())

    assert guest.ask() is None
    assert not guest.desk.is_scarce(RUN, guest.clock.now_ms())


def test_home_that_is_silent_makes_no_endpoint_scarce(guest):
    """Guards against engines that are left out when an instance is killed."""
    guest.timers.advance(MOST_TRIES * ANSWER_MS)

    assert guest.outcomes == [Denial(NO_HOME_MS)]
    assert not guest.desk.is_scarce(RUN, guest.clock.now_ms())
