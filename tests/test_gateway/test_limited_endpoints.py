"""Tests of requests for services whose endpoints state limits."""

from __future__ import annotations

import pytest
from gateway_fakes import SUCCESS, make_prompt, make_scene

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


def state_limit(scene, *endpoints, per_s=1.0):
    """Let endpoints state a limit, or no limit."""
    scene.advance(1)
    now_ms = scene.clock.now_ms()
    for endpoint in endpoints:
        run = scene.parts.roster.get(endpoint).entry.run
        statement = EndpointStatement(per_s)
        scene.parts.statements.apply(run, statement, now_ms, now_ms)


def accumulate_calls(scene, *endpoints):
    """Let the homes of limited endpoints accumulate calls."""
    for endpoint in endpoints:
        run = scene.parts.roster.get(endpoint).entry.run
        scene.parts.permits.request(run, 0, lambda outcome: None)  # noqa: ARG005
    scene.advance(ACCUMULATION_MS)
    scene.parts.configuration.confirm(scene.clock.now_ms())


def test_limited_endpoint_is_called_with_a_permit():
    scene = make_scene(desks=1)
    state_limit(scene, 'd0')
    accumulate_calls(scene, 'd0')
    _, caller = scene.start()

    assert isinstance(scene.last.attempt.permit, Permit)
    scene.last.answer(SUCCESS, b'visit 7')
    assert caller.status == 200


def test_request_uses_another_endpoint_where_a_limit_is_used_up():
    """Guards against refusals while another endpoint has capacity."""
    scene = make_scene(desks=3)
    state_limit(scene, 'd0', 'd1')
    endpoints = set()
    for _ in range(20):
        scene.start()
        endpoints.add(scene.last.endpoint)

    assert endpoints == {'d2'}


@pytest.mark.parametrize('path', ['/visit/1', '/draft/1'])
def test_request_is_refused_at_once_where_all_limits_are_used_up(path):
    """Guards against a caller that waits for its deadline, or retries too soon."""
    scene = make_scene(desks=2, engines=2)
    state_limit(scene, 'd0', 'd1', 'e0', 'e1', per_s=0.5)
    _, caller = scene.start(path, prompt=make_prompt() if 'draft' in path else None)

    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms >= 2_000
    assert not scene.attempts.sent


def test_limited_engine_is_not_queried_for_its_load():
    """Guards against load reports that use up an engine's limit."""
    scene = make_scene(engines=1)
    state_limit(scene, 'e0', per_s=20.0)
    accumulate_calls(scene, 'e0')
    scene.start('/draft/1', prompt=make_prompt())

    assert len(scene.attempts.sent) == 1
    assert not scene.attempts.probes


def test_attempt_moves_when_its_endpoint_states_a_limit_meanwhile():
    """Guards against a call to an endpoint chosen before its limit was known."""
    scene = make_scene(desks=2)
    execution, caller = scene.start()
    first = scene.last
    state_limit(scene, first.endpoint)
    first.listener.attempt_withheld()

    assert scene.last.endpoint != first.endpoint
    scene.last.answer(SUCCESS)
    assert caller.status == 200
    assert execution.possible_runs == 0


def test_withheld_attempt_gets_a_permit_without_other_endpoints():
    """Guards against a refusal although the only endpoint accepts the call."""
    scene = make_scene(desks=1)
    state_limit(scene, 'd0')
    accumulate_calls(scene, 'd0')
    state_limit(scene, 'd0', per_s=None)
    _, caller = scene.start()
    assert scene.last.attempt.permit is None
    state_limit(scene, 'd0')
    scene.last.listener.attempt_withheld()

    assert caller.state == 'waiting'
    assert isinstance(scene.last.attempt.permit, Permit)


def test_unresponsive_engine_is_not_left_while_it_cannot_be_probed():
    """Guards against a second prefill because a limited engine cannot be probed."""
    scene = make_scene(engines=2)
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()
    state_limit(scene, 'e0', 'e1')
    scene.attempts.lives = False
    scene.advance(700)

    assert len(scene.attempts.sent) == 1
    assert not scene.last.cancelled


def test_limited_engine_serves_what_no_other_engine_accepts():
    """Guards against refusals while a limited engine still accepts calls."""
    scene = make_scene(engines=2)
    state_limit(scene, 'e0', per_s=5.0)
    accumulate_calls(scene, 'e0')
    for number in range(8):
        scene.start('/draft/1', prompt=make_prompt(f'p{number}'))
    scene.parts.roster.record_end(scene.parts.roster.get('e1').entry.run)
    scene.advance(PERMIT_LIFETIME_MS)
    sent = len(scene.attempts.sent)
    scene.start('/draft/1', prompt=make_prompt())

    assert len(scene.attempts.sent) == sent + 1
    assert scene.last.endpoint == 'e0'


def deny_call(scene, endpoint):
    """Let a limited engine have denied a call, and accumulated some calls since."""
    state_limit(scene, endpoint)
    accumulate_calls(scene, endpoint)


@pytest.mark.parametrize('path', ['/draft/1', '/diagnosis/1'])
@pytest.mark.parametrize('endpoint', ['e0', 'e1', 'e2'])
def test_engine_that_denied_a_call_is_the_last_resort(endpoint, path):
    """Guards against partitions and homes that change with each permit."""
    for number in range(5):
        scene = make_scene(engines=3)
        deny_call(scene, endpoint)
        state_limit(scene, endpoint)
        scene.start(path, prompt=make_prompt(f'p{number}'))

        assert scene.last.endpoint != endpoint


def test_engine_with_short_denial_is_asked_once():
    """Guards against a caller that requests permits from one home repeatedly."""
    scene = make_scene(engines=2)
    state_limit(scene, 'e0', 'e1', per_s=40.0)
    _, caller = scene.start('/draft/1', prompt=make_prompt())

    assert caller.state == 'refused'
    assert count_permit_requests(scene) == 2


def test_endpoint_that_leaves_during_permit_request_gets_no_call():
    """Guards against a call to an endpoint that was chosen before it was leaving."""
    scene = make_scene(desks=2)
    questions = use_other_home(scene, 'd0')
    state_limit(scene, 'd0')
    while not questions:
        scene.start()
    entry = scene.parts.roster.get('d0').entry
    scene.parts.roster.apply(entry._replace(draining=True, sequence=2))
    scene.parts.permits.handle_answer(PermitAnswer(questions[-1].message.sequence, 0))

    assert scene.last.endpoint == 'd1'


def use_other_home(scene, endpoint):
    """Let another instance be the home of an endpoint; return the questions to it."""
    questions = []
    scene.parts.permits.send = questions.append
    own, other = make_address('kochi-1'), make_address('kochi-2')
    key = f'{endpoint}/0'
    number = 2
    while score_member(key, other) < score_member(key, own):
        number += 1
        other = make_address(f'kochi-{number}')
    scene.parts.permits.set_view(MemberView(own, (own, other)))
    return questions


def make_address(name):
    return MemberAddress(name, 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)


def test_limited_engine_serves_a_request_that_would_wait_elsewhere():
    """Guards against unused calls of a limited engine while requests wait elsewhere."""
    scene = make_scene(engines=2)
    deny_call(scene, 'e0')
    state_limit(scene, 'e0')
    scene.attempts.loads['e1'] = EngineLoad(
        waiting=3, prefilling=1, generating=4, next_tokens=17_000
    )
    scene.start('/diagnosis/1', prompt=make_prompt())

    assert scene.last.endpoint == 'e0'


def test_limited_engine_is_called_regularly_to_confirm_its_limit():
    """Guards against a limit that never ends because the engine is never called."""
    scene = make_scene(engines=2)
    deny_call(scene, 'e0')
    scene.start('/draft/1', prompt=make_prompt())

    assert scene.last.endpoint == 'e0'


def test_limit_of_plain_endpoint_is_fully_used():
    """Guards against an underused limit although no partition depends on it."""
    scene = make_scene(desks=2)
    state_limit(scene, 'd0')
    accumulate_calls(scene, 'd0')
    state_limit(scene, 'd0')
    for _ in range(30):
        scene.start()

    sent = [each.endpoint for each in scene.attempts.sent]
    assert sent.count('d0') >= 2
    assert sent.count('d1') >= 20


def test_permit_requests_are_limited_per_attempt():
    """Guards against a caller that waits for the homes of all endpoints in turn."""
    scene = make_scene(desks=2 * MAX_PERMIT_REQUESTS)
    state_limit(scene, *(f'd{number}' for number in range(2 * MAX_PERMIT_REQUESTS)))
    _, caller = scene.start()

    assert caller.state == 'refused'
    assert count_permit_requests(scene) == MAX_PERMIT_REQUESTS


def count_permit_requests(scene):
    """Return how many permits were granted or denied."""
    text = scene.parts.telemetry.metrics.render()[0].decode()
    lines = [each for each in text.splitlines() if 'permits_total{' in each]
    return sum(int(float(line.split()[-1])) for line in lines)
