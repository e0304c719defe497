"""Tests of what is asked before a call leaves, and heard when its answer comes."""

from __future__ import annotations

import pytest
from fleet.adapter import FleetAdapter
from test_dialects import ENTRY, make_attempt

from savorychute.clock import ManualClock
from savorychute.gateway.daemon.attempt_sender import AttemptSender
from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
from savorychute.gateway.endpoints.statement_book import StatementBook
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.permits.permit_desk import PermitDesk
from savorychute.gateway.telemetry import GatewayTelemetry
from savorychute.logs import InstanceLog
from savorychute.metrics import Metrics
from savorychute.testing.virtual_loop import run_virtual

NOW_MS = 1_000
OTHERS = {'server-limit': '1', 'server-signature': 's'}
OURS = OTHERS | {'attempt-id': 'a1'}


class Pool:
    """Keeps the handler of each call."""

    def __init__(self):
        self.handlers = []

    def submit(self, address, request, handler, *, fresh=False):
        del address, request, fresh
        self.handlers.append(handler)
        return self


class Listener:
    """Keeps what an attempt is told."""

    def __init__(self):
        self.told = []

    def can_send(self):
        self.told.append('sends')
        return True

    def attempt_withheld(self):
        self.told.append('withheld')

    def response_started(self, answer):
        self.told.append(answer.status)


class Desk:
    """A sender, and what it was given."""

    def __init__(self):
        clock = ManualClock(NOW_MS)
        metrics = Metrics('k1', GATEWAY_METRICS)
        telemetry = GatewayTelemetry(InstanceLog('k1'), metrics, clock)
        of_endpoints = EndpointTelemetry(telemetry)
        self.statements = StatementBook(of_endpoints)
        permits = PermitDesk(self.statements.limits, clock, None)
        self.pool = Pool()
        self.listener = Listener()
        self.sender = AttemptSender(
            self.pool, FleetAdapter(), self.statements, permits, of_endpoints, clock
        )

    def limit(self):
        self.statements.take(ENTRY.run, EndpointStatement(1.0), NOW_MS, NOW_MS)

    def begin(self, permit=None):
        """Start an attempt; return what is asked before it leaves."""
        self.sender.send(make_attempt(permit=permit), self.listener)
        return self.pool.handlers[-1]


@pytest.fixture
def desk():
    return Desk()


def test_attempt_without_a_permit_does_not_leave_for_a_limited_endpoint(desk):
    """Guards against a call that was under way when its endpoint stated a limit."""
    handler = desk.begin()
    desk.limit()

    assert not handler.about_to_send()
    assert desk.listener.told == ['withheld']


def test_attempt_with_a_permit_leaves_for_a_limited_endpoint(desk):
    desk.limit()

    assert desk.begin(Permit(ENTRY.run, NOW_MS)).about_to_send()
    assert desk.listener.told == ['sends']


def test_attempt_does_not_leave_for_an_endpoint_that_has_said_that_it_leaves(desk):
    """Guards against a call that was under way when its endpoint said so."""
    handler = desk.begin()
    desk.statements.leaving.state(ENTRY.run, NOW_MS)

    assert not handler.about_to_send()
    assert desk.listener.told == ['withheld']


def test_attempt_does_not_leave_for_an_endpoint_that_rests(desk):
    """Guards against a call that was under way when its endpoint asked for rest."""
    handler = desk.begin()
    desk.statements.rests.state(ENTRY.run, 500, NOW_MS)

    assert not handler.about_to_send()
    assert desk.listener.told == ['withheld']


def test_report_is_not_asked_of_a_limited_engine_without_a_permit(desk):
    """Guards against load reports that no limit counts."""

    async def main():
        loads = []
        desk.sender.probe(ENTRY, loads.append)
        desk.limit()
        return desk.pool.handlers[-1].about_to_send(), loads

    assert run_virtual(main()) == (False, [None])


@pytest.mark.parametrize('status', [200, 500, 503])
def test_any_answer_may_state_a_limit(desk, status):
    handler = desk.begin()
    handler.about_to_send()
    handler.response_started(status, OURS)

    assert desk.statements.limits.limit_per_s(ENTRY.run) == 1.0


@pytest.mark.parametrize(
    ('status', 'headers'),
    [(421, OURS), (200, OTHERS | {'attempt-id': 'b2'}), (200, {'server-limit': '1'})],
)
def test_answer_of_another_run_says_nothing_of_the_one_that_was_meant(
    desk, status, headers
):
    """Guards against the limit of an endpoint that has got another's address."""
    handler = desk.begin()
    handler.about_to_send()
    handler.response_started(status, headers)

    assert desk.statements.limits.limit_per_s(ENTRY.run) is None


def test_odd_statement_leaves_the_answer_as_it_is(desk):
    """Guards against a caller that gets nothing for a header nobody can read."""
    handler = desk.begin()
    handler.about_to_send()
    handler.response_started(200, OURS | {'server-limit': '1e400'})

    assert desk.listener.told == ['sends', 200]
    assert desk.statements.limits.limit_per_s(ENTRY.run) is None
