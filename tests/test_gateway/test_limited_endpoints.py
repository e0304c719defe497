"""Tests of requests for services whose endpoints state limits."""

from __future__ import annotations

import pytest
from gateway_fakes import SUCCESS, make_gateway, make_prompt

from savorychute.gateway.dispatch.limited_endpoints import MAX_PERMIT_REQUESTS
from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_handler import PERMIT_LIFETIME_MS
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.membership.rendezvous import score_member
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

ACCUMULATION_MS = 30_000


def state_limit(gateway, *endpoints, per_s=1.0):
    """Let endpoints state a limit, or no limit."""
    gateway.advance(1)
    now_ms = gateway.clock.now_ms()
    for endpoint in endpoints:
        run = gateway.parts.roster.get(endpoint).entry.run
        statement = EndpointStatement(per_s)
        gateway.parts.statements.apply(run, statement, now_ms, now_ms)


def accumulate_calls(gateway, *endpoints):
    """Let the homes of limited endpoints accumulate calls."""
    for endpoint in endpoints:
        run = gateway.parts.roster.get(endpoint).entry.run
        gateway.parts.permits.request(run, 0, lambda outcome: None)  # noqa: ARG005
    gateway.advance(ACCUMULATION_MS)
    gateway.parts.configuration.confirm(gateway.clock.now_ms())


def test_limited_endpoint_is_called_with_a_permit():
    gateway = make_gateway(desks=1)
    state_limit(gateway, 'd0')
    accumulate_calls(gateway, 'd0')
    _, caller = gateway.start()

    assert isinstance(gateway.last_attempt.attempt.permit, Permit)
    gateway.last_attempt.respond(SUCCESS, b'visit 7')
    assert caller.status == 200


def test_request_uses_another_endpoint_where_a_limit_is_used_up():
    """Guards against refusals while another endpoint has capacity."""
    gateway = make_gateway(desks=3)
    state_limit(gateway, 'd0', 'd1')
    endpoints = set()
    for _ in range(20):
        gateway.start()
        endpoints.add(gateway.last_attempt.endpoint)

    assert endpoints == {'d2'}


@pytest.mark.parametrize('path', ['/visit/1', '/draft/1'])
def test_request_is_refused_at_once_where_all_limits_are_used_up(path):
    """Guards against a caller that waits for its deadline, or retries too soon."""
    gateway = make_gateway(desks=2, engines=2)
    state_limit(gateway, 'd0', 'd1', 'e0', 'e1', per_s=0.5)
    _, caller = gateway.start(path, prompt=make_prompt() if 'draft' in path else None)

    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms >= 2_000
    assert not gateway.attempts.sent


def test_limited_engine_is_not_queried_for_its_load():
    """Guards against load reports that use up an engine's limit."""
    gateway = make_gateway(engines=1)
    state_limit(gateway, 'e0', per_s=20.0)
    accumulate_calls(gateway, 'e0')
    gateway.start('/draft/1', prompt=make_prompt())

    assert len(gateway.attempts.sent) == 1
    assert not gateway.attempts.probes


def test_attempt_moves_when_its_endpoint_states_a_limit_meanwhile():
    """Guards against a call to an endpoint chosen before its limit was known."""
    gateway = make_gateway(desks=2)
    execution, caller = gateway.start()
    first = gateway.last_attempt
    state_limit(gateway, first.endpoint)
    first.listener.attempt_withheld()

    assert gateway.last_attempt.endpoint != first.endpoint
    gateway.last_attempt.respond(SUCCESS)
    assert caller.status == 200
    assert execution.possible_executions == 0


def test_withheld_attempt_gets_a_permit_without_other_endpoints():
    """Guards against a refusal although the only endpoint accepts the call."""
    gateway = make_gateway(desks=1)
    state_limit(gateway, 'd0')
    accumulate_calls(gateway, 'd0')
    state_limit(gateway, 'd0', per_s=None)
    _, caller = gateway.start()
    assert gateway.last_attempt.attempt.permit is None
    state_limit(gateway, 'd0')
    gateway.last_attempt.listener.attempt_withheld()

    assert caller.state == 'waiting'
    assert isinstance(gateway.last_attempt.attempt.permit, Permit)


def test_unresponsive_engine_is_not_left_while_it_cannot_be_probed():
    """Guards against a second prefill because a limited engine cannot be probed."""
    gateway = make_gateway(engines=2)
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()
    state_limit(gateway, 'e0', 'e1')
    gateway.attempts.engines_alive = False
    gateway.advance(700)

    assert len(gateway.attempts.sent) == 1
    assert not gateway.last_attempt.cancelled


def test_limited_engine_serves_what_no_other_engine_accepts():
    """Guards against refusals while a limited engine still accepts calls."""
    gateway = make_gateway(engines=2)
    state_limit(gateway, 'e0', per_s=5.0)
    accumulate_calls(gateway, 'e0')
    for number in range(8):
        gateway.start('/draft/1', prompt=make_prompt(f'p{number}'))
    gateway.parts.roster.record_end(gateway.parts.roster.get('e1').entry.run)
    gateway.advance(PERMIT_LIFETIME_MS)
    sent = len(gateway.attempts.sent)
    gateway.start('/draft/1', prompt=make_prompt())

    assert len(gateway.attempts.sent) == sent + 1
    assert gateway.last_attempt.endpoint == 'e0'


def deny_call(gateway, endpoint):
    """Let a limited engine have denied a call, and accumulated some calls since."""
    state_limit(gateway, endpoint)
    accumulate_calls(gateway, endpoint)


@pytest.mark.parametrize('path', ['/draft/1', '/diagnosis/1'])
@pytest.mark.parametrize('endpoint', ['e0', 'e1', 'e2'])
def test_engine_that_denied_a_call_is_the_last_resort(endpoint, path):
    """Guards against partitions and homes that change with each permit."""
    for number in range(5):
        gateway = make_gateway(engines=3)
        deny_call(gateway, endpoint)
        state_limit(gateway, endpoint)
        gateway.start(path, prompt=make_prompt(f'p{number}'))

        assert gateway.last_attempt.endpoint != endpoint


def test_engine_with_short_denial_is_asked_once():
    """Guards against a caller that requests permits from one home repeatedly."""
    gateway = make_gateway(engines=2)
    state_limit(gateway, 'e0', 'e1', per_s=40.0)
    _, caller = gateway.start('/draft/1', prompt=make_prompt())

    assert caller.state == 'refused'
    assert count_permit_requests(gateway) == 2


def test_endpoint_that_leaves_during_permit_request_gets_no_call():
    """Guards against a call to an endpoint that was chosen before it was leaving."""
    gateway = make_gateway(desks=2)
    queries = use_other_home(gateway, 'd0')
    state_limit(gateway, 'd0')
    while not queries:
        gateway.start()
    entry = gateway.parts.roster.get('d0').entry
    gateway.parts.roster.apply(entry._replace(draining=True, sequence=2))
    gateway.parts.permits.handle_response(PermitAnswer(queries[-1].message.sequence, 0))

    assert gateway.last_attempt.endpoint == 'd1'


def use_other_home(gateway, endpoint):
    """Let another instance be the home of an endpoint; return the queries to it."""
    queries = []
    gateway.parts.permits.send = queries.append
    own, other = make_address('kochi-1'), make_address('kochi-2')
    key = f'{endpoint}/0'
    number = 2
    while score_member(key, other) < score_member(key, own):
        number += 1
        other = make_address(f'kochi-{number}')
    gateway.parts.permits.set_view(MemberView(own, (own, other)))
    return queries


def make_address(name):
    return MemberAddress(name, 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)


def test_limited_engine_serves_a_request_that_would_wait_elsewhere():
    """Guards against unused calls of a limited engine while requests wait elsewhere."""
    gateway = make_gateway(engines=2)
    deny_call(gateway, 'e0')
    state_limit(gateway, 'e0')
    gateway.attempts.loads['e1'] = EngineLoad(
        waiting=3, prefilling=1, generating=4, next_tokens=17_000
    )
    gateway.start('/diagnosis/1', prompt=make_prompt())

    assert gateway.last_attempt.endpoint == 'e0'


def test_limited_engine_is_called_regularly_to_confirm_its_limit():
    """Guards against a limit that never ends because the engine is never called."""
    gateway = make_gateway(engines=2)
    deny_call(gateway, 'e0')
    gateway.start('/draft/1', prompt=make_prompt())

    assert gateway.last_attempt.endpoint == 'e0'


def test_limit_of_plain_endpoint_is_fully_used():
    """Guards against an underused limit although no partition depends on it."""
    gateway = make_gateway(desks=2)
    state_limit(gateway, 'd0')
    accumulate_calls(gateway, 'd0')
    state_limit(gateway, 'd0')
    for _ in range(30):
        gateway.start()

    sent = [each.endpoint for each in gateway.attempts.sent]
    assert sent.count('d0') >= 2
    assert sent.count('d1') >= 20


def test_permit_requests_are_limited_per_attempt():
    """Guards against a caller that waits for the homes of all endpoints in turn."""
    gateway = make_gateway(desks=2 * MAX_PERMIT_REQUESTS)
    state_limit(gateway, *(f'd{number}' for number in range(2 * MAX_PERMIT_REQUESTS)))
    _, caller = gateway.start()

    assert caller.state == 'refused'
    assert count_permit_requests(gateway) == MAX_PERMIT_REQUESTS


def count_permit_requests(gateway):
    """Return how many permits were granted or denied."""
    text = gateway.parts.telemetry.metrics.render()[0].decode()
    lines = [each for each in text.splitlines() if 'permits_total{' in each]
    return sum(int(float(line.split()[-1])) for line in lines)
