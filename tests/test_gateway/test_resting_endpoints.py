"""Tests of endpoints that ask this instance for rest."""

from __future__ import annotations

import pytest
from gateway_fakes import REJECTION, STREAM, make_gateway, make_prompt
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.ran import Ran
from savorychute.result_code import ResultCode

REST_MS = 3_000
SPREAD_MS = 500


def ask_rest(scene, endpoint, rest_ms=REST_MS):
    run = scene.parts.roster.get(endpoint).entry.run
    scene.parts.statements.rests.state(run, rest_ms, scene.clock.now_ms())


def test_resting_endpoint_is_left_out_until_its_rest_is_over():
    scene = make_gateway(desks=2)
    ask_rest(scene, 'd0')
    for _ in range(10):
        scene.start()
    assert {each.endpoint for each in scene.attempts.sent} == {'d1'}

    scene.advance(REST_MS)
    for _ in range(10):
        scene.start()
    assert 'd0' in {each.endpoint for each in scene.attempts.sent}


def test_blocked_endpoint_is_tried_where_the_others_rest():
    """Guards against a refusal: a block is a guess, a rest is not."""
    scene = make_gateway(desks=2)
    ask_rest(scene, 'd0')
    scene.parts.roster.get('d1').health.silent(scene.clock.now_ms())
    scene.start()

    assert scene.last_attempt.endpoint == 'd1'


@pytest.mark.parametrize('path', ['/visit/1', '/parts/1', '/draft/1'])
def test_request_is_refused_with_the_least_rest_that_is_left(path):
    """Guards against a caller that waits, or comes back too early or too late."""
    scene = make_gateway(desks=2, engines=2)
    for endpoint in ('d0', 'e0'):
        ask_rest(scene, endpoint)
    for endpoint in ('d1', 'e1'):
        ask_rest(scene, endpoint, 2 * REST_MS)
    _, caller = scene.start(path, prompt=make_prompt() if 'draft' in path else None)

    assert not scene.attempts.sent
    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert REST_MS <= caller.refusal.retry_after_ms < REST_MS + SPREAD_MS


def test_no_repeat_is_spent_where_all_other_endpoints_rest():
    """Guards against a shared bound that is used up by attempts that nobody sends."""
    scene = make_gateway(desks=2)
    ask_rest(scene, 'd0')
    _, caller = scene.start()
    scene.last_attempt.respond(REJECTION)

    spent = scene.parts.allowance.try_spend('desk', scene.clock.now_ms()).spent
    assert caller.state == 'refused'
    assert spent == 1


def test_resting_engine_is_not_probed():
    scene = make_gateway(engines=2)
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last_attempt.mark_sent()
    scene.attempts.probes.clear()
    ask_rest(scene, 'e0')
    ask_rest(scene, 'e1')
    scene.advance(1_000)

    assert not scene.attempts.probes
    assert not scene.last_attempt.cancelled


def test_attempt_whose_endpoint_asks_for_rest_meanwhile_goes_elsewhere():
    """Guards against a call that was chosen before its endpoint asked for rest."""
    scene = make_gateway(desks=2)
    _, caller = scene.start()
    first = scene.last_attempt
    ask_rest(scene, first.endpoint)
    first.listener.attempt_withheld()

    assert scene.last_attempt.endpoint != first.endpoint
    assert caller.state == 'waiting'


steps = st.one_of(
    st.tuples(
        st.just('request'), st.sampled_from(['/visit/1', '/parts/1', '/draft/1'])
    ),
    st.tuples(st.just('rest'), st.sampled_from([200, 1_000, 3_000])),
    st.tuples(st.just('wait'), st.integers(1, 1_500)),
    st.tuples(st.sampled_from(['shed', 'break', 'answer']), st.none()),
)


def play(scene, step, value):
    """Do one step; the attempts that are open answer in the order of their sends."""
    open_attempts = [
        each
        for each in scene.attempts.sent
        if not each.listener.ended and not each.cancelled
    ]
    if step == 'request':
        scene.start(value, prompt=make_prompt() if 'draft' in value else None)
    elif step == 'rest':
        for endpoint in {each.endpoint for each in open_attempts}:
            ask_rest(scene, endpoint, value)
            yield endpoint, value
    elif step == 'wait':
        scene.parts.configuration.confirm(scene.clock.now_ms())
        scene.advance(value)
    elif open_attempts and step == 'shed':
        open_attempts[0].respond(REJECTION)
    elif open_attempts and step == 'break':
        open_attempts[0].break_connection()
    elif open_attempts:
        open_attempts[0].respond(STREAM, b'id: 1\ndata: x\n\n')


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(steps, max_size=40))
def test_resting_endpoint_gets_no_call(steps):
    """Guards against any way to an endpoint that wants nothing of this instance."""
    scene = make_gateway(desks=2, engines=2)
    rests_ms = {}
    for step, value in steps:
        before = len(scene.attempts.sent)
        began_ms = scene.clock.now_ms()
        for endpoint, rest_ms in play(scene, step, value):
            until_ms = began_ms + rest_ms
            rests_ms[endpoint] = max(until_ms, rests_ms.get(endpoint, 0))
        for sent in scene.attempts.sent[before:]:
            assert sent.listener.started_ms >= rests_ms.get(sent.endpoint, 0)
