"""Tests of endpoints that request a backoff from this instance."""

from __future__ import annotations

import pytest
from gateway_fakes import REJECTION, STREAM, make_gateway, make_prompt
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.ran import Ran
from savorychute.result_code import ResultCode

BACKOFF_MS = 3_000
RETRY_SPREAD_MS = 500


def request_backoff(gateway, endpoint, backoff_ms=BACKOFF_MS):
    run = gateway.parts.roster.get(endpoint).entry.run
    gateway.parts.statements.backoffs.record_backoff(
        run, backoff_ms, gateway.clock.now_ms()
    )


def test_endpoint_is_excluded_until_its_backoff_ends():
    gateway = make_gateway(desks=2)
    request_backoff(gateway, 'd0')
    for _ in range(10):
        gateway.start()
    assert {each.endpoint for each in gateway.attempts.sent} == {'d1'}

    gateway.advance(BACKOFF_MS)
    for _ in range(10):
        gateway.start()
    assert 'd0' in {each.endpoint for each in gateway.attempts.sent}


def test_blocked_endpoint_is_used_while_others_are_in_backoff():
    """Guards against a refusal: a block is only an estimate, a backoff is stated."""
    gateway = make_gateway(desks=2)
    request_backoff(gateway, 'd0')
    gateway.parts.roster.get('d1').health.record_unresponsive(gateway.clock.now_ms())
    gateway.start()

    assert gateway.last_attempt.endpoint == 'd1'


@pytest.mark.parametrize('path', ['/visit/1', '/parts/1', '/draft/1'])
def test_request_is_refused_with_shortest_remaining_backoff(path):
    """Guards against a caller that waits, or retries too early or too late."""
    gateway = make_gateway(desks=2, engines=2)
    for endpoint in ('d0', 'e0'):
        request_backoff(gateway, endpoint)
    for endpoint in ('d1', 'e1'):
        request_backoff(gateway, endpoint, 2 * BACKOFF_MS)
    _, caller = gateway.start(path, prompt=make_prompt() if 'draft' in path else None)

    assert not gateway.attempts.sent
    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert BACKOFF_MS <= caller.refusal.retry_after_ms < BACKOFF_MS + RETRY_SPREAD_MS


def test_no_retry_is_spent_while_all_other_endpoints_are_in_backoff():
    """Guards against retries spent on attempts that are never sent."""
    gateway = make_gateway(desks=2)
    request_backoff(gateway, 'd0')
    _, caller = gateway.start()
    gateway.last_attempt.respond(REJECTION)

    spent = gateway.parts.allowance.try_spend('desk', gateway.clock.now_ms()).spent
    assert caller.state == 'refused'
    assert spent == 1


def test_engine_in_backoff_is_not_probed():
    gateway = make_gateway(engines=2)
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()
    gateway.attempts.probes.clear()
    request_backoff(gateway, 'e0')
    request_backoff(gateway, 'e1')
    gateway.advance(1_000)

    assert not gateway.attempts.probes
    assert not gateway.last_attempt.cancelled


def test_attempt_moves_when_its_endpoint_requests_backoff_meanwhile():
    """Guards against a call to an endpoint chosen before it requested a backoff."""
    gateway = make_gateway(desks=2)
    _, caller = gateway.start()
    first = gateway.last_attempt
    request_backoff(gateway, first.endpoint)
    first.listener.attempt_withheld()

    assert gateway.last_attempt.endpoint != first.endpoint
    assert caller.state == 'waiting'


steps = st.one_of(
    st.tuples(
        st.just('request'), st.sampled_from(['/visit/1', '/parts/1', '/draft/1'])
    ),
    st.tuples(st.just('rest'), st.sampled_from([200, 1_000, 3_000])),
    st.tuples(st.just('wait'), st.integers(1, 1_500)),
    st.tuples(st.sampled_from(['shed', 'break', 'answer']), st.none()),
)


def run_step(gateway, step, value):
    """Execute one step; open attempts respond in the order of their sends."""
    open_attempts = [
        each
        for each in gateway.attempts.sent
        if not each.listener.ended and not each.cancelled
    ]
    if step == 'request':
        gateway.start(value, prompt=make_prompt() if 'draft' in value else None)
    elif step == 'rest':
        for endpoint in {each.endpoint for each in open_attempts}:
            request_backoff(gateway, endpoint, value)
            yield endpoint, value
    elif step == 'wait':
        gateway.parts.configuration.confirm(gateway.clock.now_ms())
        gateway.advance(value)
    elif open_attempts and step == 'shed':
        open_attempts[0].respond(REJECTION)
    elif open_attempts and step == 'break':
        open_attempts[0].break_connection()
    elif open_attempts:
        open_attempts[0].respond(STREAM, b'id: 1\ndata: x\n\n')


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(steps, max_size=40))
def test_endpoint_in_backoff_gets_no_call(steps):
    """Guards against any call to an endpoint that requested a backoff."""
    gateway = make_gateway(desks=2, engines=2)
    backoff_until_ms = {}
    for step, value in steps:
        before = len(gateway.attempts.sent)
        start_ms = gateway.clock.now_ms()
        for endpoint, backoff_ms in run_step(gateway, step, value):
            end_ms = start_ms + backoff_ms
            backoff_until_ms[endpoint] = max(end_ms, backoff_until_ms.get(endpoint, 0))
        for sent in gateway.attempts.sent[before:]:
            assert sent.listener.started_ms >= backoff_until_ms.get(sent.endpoint, 0)
