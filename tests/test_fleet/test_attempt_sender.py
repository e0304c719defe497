"""Tests of checks before an attempt is sent, and of statements in its response."""

from __future__ import annotations

import pytest
from fleet.adapter import FleetAdapter
from test_dialects import ENTRY, make_attempt

from savorychute.clock import ManualClock
from savorychute.gateway.daemon.attempt_sender import AttemptSender
from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
from savorychute.gateway.endpoints.statement_table import StatementTable
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.moves.continuation import Continuation
from savorychute.gateway.moves.move_call import CopyOrder, CopyOutcome, CopyResult
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.permits.permit_handler import PermitHandler
from savorychute.gateway.requests.endpoint_response import ResponseKind
from savorychute.gateway.telemetry import GatewayTelemetry
from savorychute.http.client_pool import ServerAddress
from savorychute.logs import InstanceLog
from savorychute.metrics import Metrics
from savorychute.testing.virtual_loop import run_virtual

NOW_MS = 1_000
FOREIGN_HEADERS = {'server-limit': '1', 'server-signature': 's'}
ELSEWHERE = ServerAddress('10.0.0.7', 80)
OWN_HEADERS = FOREIGN_HEADERS | {'attempt-id': 'a1'}


class FakePool:
    """Stores the handler of each call."""

    def __init__(self):
        self.handlers = []
        self.options = []
        self.cancelled = 0
        self.calls_before = 0
        self.was_followed = False
        self.retired = 0

    def submit(self, address, request, handler, **options):
        del address, request
        self.handlers.append(handler)
        self.options.append(options)
        return self

    def retire_connection(self):
        self.retired += 1

    def cancel(self):
        self.cancelled += 1


class FakeListener:
    """Stores the events of an attempt."""

    def __init__(self):
        self.events = []

    def can_send(self):
        self.events.append('sends')
        return True

    def attempt_withheld(self):
        self.events.append('withheld')

    def response_started(self, response):
        self.events.append(response.status)
        self.kind = response.kind


class SenderFixture:
    """An attempt sender with fakes around it."""

    def __init__(self):
        clock = ManualClock(NOW_MS)
        self.metrics = Metrics('k1', GATEWAY_METRICS)
        telemetry = GatewayTelemetry(InstanceLog('k1'), self.metrics, clock)
        endpoint_telemetry = EndpointTelemetry(telemetry)
        self.statements = StatementTable(endpoint_telemetry)
        permits = PermitHandler(self.statements.limits, clock, None)
        self.pool = FakePool()
        self.listener = FakeListener()
        self.sender = AttemptSender(
            self.pool,
            FleetAdapter(),
            self.statements,
            permits,
            endpoint_telemetry,
            clock,
        )

    def state_limit(self):
        self.statements.apply(ENTRY.run, EndpointStatement(1.0), NOW_MS, NOW_MS)

    def start_attempt(self, permit=None, **fields):
        """Start an attempt; return the handler of its call."""
        self.sender.send(make_attempt(permit=permit, **fields), self.listener)
        return self.pool.handlers[-1]


@pytest.fixture
def sender_fixture():
    return SenderFixture()


def test_attempt_without_permit_is_withheld_from_limited_endpoint(sender_fixture):
    """Guards against a call that was prepared before its endpoint stated a limit."""
    handler = sender_fixture.start_attempt()
    sender_fixture.state_limit()

    assert not handler.about_to_send()
    assert sender_fixture.listener.events == ['withheld']


def test_attempt_with_permit_is_sent_to_limited_endpoint(sender_fixture):
    sender_fixture.state_limit()

    assert sender_fixture.start_attempt(Permit(ENTRY.run, NOW_MS)).about_to_send()
    assert sender_fixture.listener.events == ['sends']


def test_attempt_is_withheld_from_leaving_endpoint(sender_fixture):
    """Guards against a call that was prepared before its endpoint stated leaving."""
    handler = sender_fixture.start_attempt()
    sender_fixture.statements.leaving.record_leaving(ENTRY.run, NOW_MS)

    assert not handler.about_to_send()
    assert sender_fixture.listener.events == ['withheld']


def test_attempt_is_withheld_from_endpoint_in_backoff(sender_fixture):
    """Guards against a call prepared before its endpoint requested a backoff."""
    handler = sender_fixture.start_attempt()
    sender_fixture.statements.backoffs.record_backoff(ENTRY.run, 500, NOW_MS)

    assert not handler.about_to_send()
    assert sender_fixture.listener.events == ['withheld']


def test_report_request_without_permit_is_withheld_from_limited_engine(sender_fixture):
    """Guards against requests for load reports that do not count towards the limit."""

    async def main():
        loads = []
        sender_fixture.sender.probe(ENTRY, loads.append)
        sender_fixture.state_limit()
        return sender_fixture.pool.handlers[-1].about_to_send(), loads

    assert run_virtual(main()) == (False, [None])


@pytest.mark.parametrize(
    'status, headers, body',
    [
        (404, {}, b''),
        (200, {}, b'{"state":"draining"}'),
        (200, {'server-limit': 'x'}, b'{}'),
    ],
)
def test_report_that_states_more_than_a_load_is_asked_for_twice_only_once(
    sender_fixture, status, headers, body
):
    """Guards against twice the reports of an engine that always states more."""
    pool, loads = sender_fixture.pool, []

    def respond(calls_before):
        pool.calls_before = calls_before
        handler = pool.handlers[-1]
        assert handler.about_to_send()
        handler.response_started(status, headers)
        handler.response_data(body)
        handler.response_ended()

    async def main():
        sender_fixture.sender.probe(ENTRY, loads.append)
        respond(calls_before=1)
        respond(calls_before=0)
        for _ in range(4):
            sender_fixture.sender.probe(ENTRY, loads.append)
            respond(calls_before=0 if pool.options[-1]['unused'] else 1)

    run_virtual(main())
    assert len(loads) == 5
    assert len(pool.handlers) == 6


@pytest.mark.parametrize('status', [200, 500, 503])
def test_any_response_can_state_a_limit(sender_fixture, status):
    handler = sender_fixture.start_attempt()
    handler.about_to_send()
    handler.response_started(status, OWN_HEADERS)

    assert sender_fixture.statements.limits.limit_per_s(ENTRY.run) == 1.0


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (421, OWN_HEADERS),
        (200, FOREIGN_HEADERS | {'attempt-id': 'b2'}),
        (200, {'server-limit': '1'}),
    ],
)
def test_response_of_another_run_states_nothing_about_the_intended_run(
    sender_fixture, status, headers
):
    """Guards against the limit of an endpoint that took over the address."""
    handler = sender_fixture.start_attempt()
    handler.about_to_send()
    handler.response_started(status, headers)

    assert sender_fixture.statements.limits.limit_per_s(ENTRY.run) is None


def test_unreadable_statement_does_not_affect_the_response(sender_fixture):
    """Guards against failing a caller's request because of an unreadable header."""
    handler = sender_fixture.start_attempt()
    handler.about_to_send()
    handler.response_started(200, OWN_HEADERS | {'server-limit': '1e400'})

    assert sender_fixture.listener.events == ['sends', 200]
    assert sender_fixture.statements.limits.limit_per_s(ENTRY.run) is None


@pytest.mark.parametrize(
    ('source', 'is_sent'), [(ENTRY.address, True), (ELSEWHERE, False)]
)
def test_only_a_run_that_returns_to_its_source_reaches_a_leaving_engine(
    sender_fixture, source, is_sent
):
    """Guards against new work at a leaving engine, and a stopped run that is lost."""
    handler = sender_fixture.start_attempt(continuation=Continuation(source, 'h'))
    sender_fixture.statements.leaving.record_leaving(ENTRY.run, NOW_MS)

    assert handler.about_to_send() is is_sent


def copy(sender_fixture, act):
    """Order a copy, act on the handler of its call; return the results."""
    results = []

    async def main():
        order = CopyOrder('a1', ELSEWHERE, is_last=True)
        sender_fixture.sender.copy(ENTRY, order, 100, results.append)
        act(sender_fixture.pool.handlers[-1])

    run_virtual(main())
    return results


def test_result_of_a_copy_is_reported(sender_fixture):
    def respond(handler):
        assert handler.about_to_send()
        handler.response_started(200, {})
        handler.response_data(b'{"handle":"h-1","created":3}')
        handler.response_ended()

    results = copy(sender_fixture, respond)

    assert results == [CopyResult(CopyOutcome.COPIED, 'h-1', 3)]


def test_copy_without_permit_is_not_sent_to_limited_engine(sender_fixture):
    """Guards against copies that do not count towards a stated limit."""
    sender_fixture.state_limit()
    results = copy(sender_fixture, lambda handler: handler.about_to_send())

    assert results == [CopyResult(CopyOutcome.UNSENT)]


@pytest.mark.parametrize('headers', [{'attempt-id': 'a0'}, {'server-signature': 's'}])
def test_late_response_of_a_request_is_no_result_of_a_copy(sender_fixture, headers):
    """Guards against copies that seem refused by a late response to a request."""

    def respond(handler):
        assert handler.about_to_send()
        handler.response_started(503, headers)

    results = copy(sender_fixture, respond)

    assert results == [CopyResult(CopyOutcome.LOST)]
    assert sender_fixture.pool.cancelled == 1


def test_copy_uses_a_connection_on_which_nothing_can_be_late(sender_fixture):
    """Guards against a run that goes on from the memory of another one."""
    copy(sender_fixture, lambda handler: handler.about_to_send())

    assert sender_fixture.pool.options[-1]['unused']


def test_responses_that_are_not_believed_are_counted(sender_fixture):
    """Guards against responses of other requests that leave no trace."""
    handler = sender_fixture.start_attempt()
    handler.about_to_send()
    handler.response_started(503, {'attempt-id': 'b2', 'not-executed': '1'})
    copy(
        sender_fixture,
        lambda copying: copying.response_started(200, {'attempt-id': 'b2'}),
    )

    lines = sender_fixture.metrics.render()[0].decode().splitlines()
    counted = [each for each in lines if 'responses_disbelieved_total{' in each]
    assert len(counted) == 1
    assert 'reason="other-request"' in counted[0]
    assert 'service="pool"' in counted[0]
    assert counted[0].endswith(' 2')


REFUSAL = {'not-executed': '1'}
UNNAMED = [
    (503, REFUSAL, ResponseKind.NOT_RUN),
    (429, REFUSAL, ResponseKind.NOT_RUN),
    (400, REFUSAL, ResponseKind.NOT_RUN),
    (421, {}, ResponseKind.OTHER_ENDPOINT),
    (503, {}, ResponseKind.FAILURE),
    (429, {}, ResponseKind.FAILURE),
    (408, {}, ResponseKind.FAILURE),
    (404, {'content-length': '0'}, ResponseKind.FAILURE),
    (200, {'server-signature': 's'}, ResponseKind.SUCCESS),
]


@pytest.mark.parametrize(('status', 'headers', 'kind'), UNNAMED)
@pytest.mark.parametrize('calls_before', [0, 1, 9])
@pytest.mark.parametrize('has_id', [False, True])
def test_response_without_an_id_is_believed_on_a_new_connection_only(
    sender_fixture, status, headers, kind, calls_before, has_id
):
    """Guards against late responses that name nothing and state 'not run' or answer."""
    sender_fixture.pool.calls_before = calls_before
    headers = headers | {'server-limit': '1'} | ({'attempt-id': 'a1'} if has_id else {})
    handler = sender_fixture.start_attempt()
    assert handler.about_to_send()
    handler.response_started(status, headers)

    is_believed = has_id or not calls_before
    assert sender_fixture.listener.kind is (
        kind if is_believed else ResponseKind.FOREIGN
    )
    limit_per_s = sender_fixture.statements.limits.limit_per_s(ENTRY.run)
    states = is_believed and kind is not ResponseKind.OTHER_ENDPOINT
    assert limit_per_s == (1.0 if states else None)


@pytest.mark.parametrize('calls_before', [0, 1])
def test_response_without_an_id_is_followed_by_a_new_connection(
    sender_fixture, calls_before
):
    """Guards against refusals without an id that are lost one after the other."""
    sender_fixture.pool.calls_before = calls_before
    handler = sender_fixture.start_attempt()
    assert handler.about_to_send()
    assert not sender_fixture.pool.options[-1]['unused']
    handler.response_started(503, REFUSAL)
    sender_fixture.start_attempt()

    assert sender_fixture.pool.retired == 1
    assert sender_fixture.pool.options[-1]['unused']


def test_request_without_an_id_uses_a_new_connection(sender_fixture):
    """Guards against another response to a request that none can name."""
    attempt = make_attempt()
    request = attempt.request._replace(attempt_id='')
    attempt = attempt._replace(request=request)
    sender_fixture.sender.send(attempt, sender_fixture.listener)

    assert sender_fixture.pool.options[-1]['unused']
