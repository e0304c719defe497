"""Tests of permits for endpoints that state limits."""

from __future__ import annotations

import pytest
from gateway_fakes import START_MS, FakeTimers, ignore_limit

from savorychute.clock import ManualClock
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.limit_table import LimitTable
from savorychute.gateway.permits.permit import Denial, Permit
from savorychute.gateway.permits.permit_allocator import PermitAllocator
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_handler import (
    MAX_QUERIES,
    NO_HOME_DELAY_MS,
    PERMIT_LIFETIME_MS,
    RESPONSE_TIMEOUT_MS,
    PermitHandler,
)
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


class HandlerFixture:
    """A permit handler, with its messages and outcomes."""

    def __init__(self):
        self.clock = ManualClock(START_MS)
        self.timers = FakeTimers(self.clock)
        self.limits = LimitTable(ignore_limit)
        self.handler = PermitHandler(self.limits, self.clock, self.timers)
        self.handler.send = self._send
        self.sent = []
        self.outcomes = []

    def _send(self, action):
        self.sent.append(action)

    def state_limit(self):
        self.limits.record_limit(RUN, 1.0, self.clock.now_ms())

    def request_permit(self, rank=FIRST):
        return self.handler.request(RUN, rank, self.outcomes.append)


@pytest.fixture
def own_home():
    """An instance that is the home itself, with a full bucket."""
    fixture = HandlerFixture()
    fixture.state_limit()
    fixture.handler.set_view(make_view('k0'))
    assert isinstance(fixture.request_permit(), Denial)
    fixture.timers.advance(30_000)
    return fixture


@pytest.fixture
def remote_home():
    """An instance for which another instance is the home."""
    fixture = HandlerFixture()
    fixture.state_limit()
    names = [f'k{number}' for number in range(9)]
    for own in names:
        fixture.handler.set_view(
            make_view(own, *(each for each in names if each != own))
        )
        if fixture.request_permit() is None:
            return fixture
        fixture.timers.advance(NO_HOME_DELAY_MS * 10)
    raise AssertionError('no other instance is the home')


def test_endpoint_without_a_limit_needs_no_permit():
    fixture = HandlerFixture()

    assert isinstance(fixture.request_permit(), Permit)
    assert fixture.handler.can_send(RUN, None, START_MS)


def test_call_without_a_permit_cannot_be_sent(own_home):
    now_ms = own_home.clock.now_ms()

    assert not own_home.handler.can_send(RUN, None, now_ms)
    assert not own_home.handler.can_send(
        RUN, Permit(EndpointRun('e1', 8), now_ms), now_ms
    )


def test_permit_expires_soon(own_home):
    """Guards against permits that are used at once, long after they were counted."""
    permit = own_home.request_permit()
    now_ms = own_home.clock.now_ms()

    assert own_home.handler.can_send(RUN, permit, now_ms + PERMIT_LIFETIME_MS)
    assert not own_home.handler.can_send(RUN, permit, now_ms + PERMIT_LIFETIME_MS + 1)


def test_permit_lifetime_starts_when_it_is_requested(remote_home):
    asked_ms = remote_home.clock.now_ms()
    remote_home.timers.advance(RESPONSE_TIMEOUT_MS - 1)
    remote_home.handler.handle_response(
        PermitAnswer(remote_home.sent[-1].message.sequence, 0)
    )

    assert remote_home.outcomes == [Permit(RUN, asked_ms + PERMIT_LIFETIME_MS)]


def test_last_tier_leaves_calls_to_other_tiers(own_home):
    granted = 0
    while isinstance(own_home.request_permit(LAST), Permit):
        granted += 1

    assert granted
    assert isinstance(own_home.request_permit(FIRST), Permit)


def test_denied_call_is_not_requested_again_before_wait_ends(remote_home):
    """Guards against a query for each request while an endpoint denies all calls."""
    remote_home.handler.handle_response(
        PermitAnswer(remote_home.sent[-1].message.sequence, 700)
    )
    sent_count = len(remote_home.sent)

    assert remote_home.outcomes == [Denial(700)]
    assert remote_home.request_permit(LAST) == Denial(700)
    assert len(remote_home.sent) == sent_count
    remote_home.timers.advance(700)
    assert remote_home.request_permit(LAST) is None


def test_denial_of_a_lower_tier_does_not_apply_to_a_higher_one(remote_home):
    remote_home.handler.handle_response(
        PermitAnswer(remote_home.sent[-1].message.sequence, 0)
    )
    remote_home.request_permit(LAST)
    remote_home.handler.handle_response(
        PermitAnswer(remote_home.sent[-1].message.sequence, 700)
    )

    assert remote_home.request_permit(FIRST) is None


def test_unresponsive_home_is_queried_once_more(remote_home):
    """Guards against calls without a permit when a message is lost."""
    remote_home.timers.advance(MAX_QUERIES * RESPONSE_TIMEOUT_MS)

    assert len(remote_home.sent) == MAX_QUERIES
    assert remote_home.outcomes == [Denial(NO_HOME_DELAY_MS)]


def test_late_response_is_ignored(remote_home):
    first_sequence = remote_home.sent[0].message.sequence
    remote_home.timers.advance(MAX_QUERIES * RESPONSE_TIMEOUT_MS)
    remote_home.handler.handle_response(PermitAnswer(first_sequence, 0))

    assert remote_home.outcomes == [Denial(NO_HOME_DELAY_MS)]


def test_instance_that_is_not_the_home_grants_nothing(remote_home):
    """Guards against two instances that both count the calls of an endpoint."""
    response = remote_home.handler.respond(PermitQuestion(3, RUN, 1.0, 0, 0))

    assert response == PermitAnswer(3, NO_HOME_DELAY_MS)


def test_home_learns_a_limit_from_a_query():
    fixture = HandlerFixture()
    fixture.handler.set_view(make_view('k0'))
    fixture.handler.respond(PermitQuestion(3, RUN, 2.5, 400, 0))

    assert fixture.limits.limit_per_s(RUN) == 2.5


def test_home_that_recorded_end_of_limit_grants_calls(own_home):
    own_home.limits.record_no_limit(RUN, own_home.clock.now_ms())

    assert own_home.handler.respond(PermitQuestion(3, RUN, 1.0, 900, 0)).wait_ms == 0


def test_home_that_changed_meanwhile_starts_without_calls(own_home):
    """Guards against calls that accumulate at two homes."""
    own_home.handler.set_view(make_view('k0', *(f'j{number}' for number in range(40))))
    own_home.handler.set_view(make_view('k0'))

    assert isinstance(own_home.request_permit(), Denial)


def test_limit_of_zero_permits_an_occasional_call():
    allocator = PermitAllocator()
    allocator.acquire(RUN, 0.0, 0, 0)

    assert allocator.acquire(RUN, 0.0, 0, 10_000) == 0


def test_denial_under_a_limit_does_not_apply_to_a_higher_limit(remote_home):
    """Guards against an endpoint that stays excluded after its limit has risen."""
    remote_home.handler.handle_response(
        PermitAnswer(remote_home.sent[-1].message.sequence, 9_000)
    )
    assert remote_home.request_permit() == Denial(9_000)
    assert remote_home.handler.is_scarce(RUN, remote_home.clock.now_ms())

    remote_home.limits.record_limit(RUN, 50.0, remote_home.clock.now_ms())

    assert remote_home.request_permit() is None
    assert not remote_home.handler.is_scarce(RUN, remote_home.clock.now_ms())


def test_unresponsive_home_makes_no_endpoint_scarce(remote_home):
    """Guards against engines that are excluded when an instance is killed."""
    remote_home.timers.advance(MAX_QUERIES * RESPONSE_TIMEOUT_MS)

    assert remote_home.outcomes == [Denial(NO_HOME_DELAY_MS)]
    assert not remote_home.handler.is_scarce(RUN, remote_home.clock.now_ms())
