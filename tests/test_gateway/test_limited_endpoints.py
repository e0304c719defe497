"""Tests of requests for services whose endpoints state limits."""

from __future__ import annotations

import pytest
from gateway_fakes import SUCCESS, make_prompt, make_scene

from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.permits.permit_desk import PERMIT_MS
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

FULL_MS = 30_000


def limit(scene, *endpoints, per_s=1.0):
    """Let endpoints state a limit, or none."""
    scene.advance(1)
    now_ms = scene.clock.now_ms()
    for endpoint in endpoints:
        run = scene.parts.roster.get(endpoint).entry.run
        statement = EndpointStatement(per_s)
        scene.parts.statements.take(run, statement, now_ms, now_ms)


def fill(scene, *endpoints):
    """Let the homes of limited endpoints save up calls."""
    for endpoint in endpoints:
        run = scene.parts.roster.get(endpoint).entry.run
        scene.parts.permits.request(run, 0, lambda outcome: None)  # noqa: ARG005
    scene.advance(FULL_MS)
    scene.parts.configuration.confirm(scene.clock.now_ms())


def test_limited_endpoint_is_called_with_a_permit():
    scene = make_scene(desks=1)
    limit(scene, 'd0')
    fill(scene, 'd0')
    _, caller = scene.start()

    assert isinstance(scene.last.attempt.permit, Permit)
    scene.last.answer(SUCCESS, b'visit 7')
    assert caller.status == 200


def test_request_goes_to_another_endpoint_where_a_limit_is_used_up():
    """Guards against refusals while another endpoint has room."""
    scene = make_scene(desks=3)
    limit(scene, 'd0', 'd1')
    endpoints = set()
    for _ in range(20):
        scene.start()
        endpoints.add(scene.last.endpoint)

    assert endpoints == {'d2'}


@pytest.mark.parametrize('path', ['/visit/1', '/draft/1'])
def test_request_is_refused_at_once_where_all_limits_are_used_up(path):
    """Guards against a caller that waits for its deadline, or comes back too soon."""
    scene = make_scene(desks=2, engines=2)
    limit(scene, 'd0', 'd1', 'e0', 'e1', per_s=0.5)
    _, caller = scene.start(path, prompt=make_prompt() if 'draft' in path else None)

    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms >= 2_000
    assert not scene.attempts.sent


def test_limited_engine_is_not_asked_for_its_load():
    """Guards against load reports that use up what an engine takes."""
    scene = make_scene(engines=1)
    limit(scene, 'e0')
    fill(scene, 'e0')
    scene.start('/draft/1', prompt=make_prompt())

    assert len(scene.attempts.sent) == 1
    assert not scene.attempts.probes


def test_attempt_whose_endpoint_states_a_limit_meanwhile_goes_elsewhere():
    """Guards against a call that was chosen before the limit was known."""
    scene = make_scene(desks=2)
    course, caller = scene.start()
    first = scene.last
    limit(scene, first.endpoint)
    first.listener.attempt_withheld()

    assert scene.last.endpoint != first.endpoint
    scene.last.answer(SUCCESS)
    assert caller.status == 200
    assert course.possible_runs == 0


def test_withheld_attempt_gets_a_permit_where_no_other_endpoint_is_there():
    """Guards against a refusal by the only endpoint, which still takes the call."""
    scene = make_scene(desks=1)
    limit(scene, 'd0')
    fill(scene, 'd0')
    limit(scene, 'd0', per_s=None)
    _, caller = scene.start()
    assert scene.last.attempt.permit is None
    limit(scene, 'd0')
    scene.last.listener.attempt_withheld()

    assert caller.state == 'waiting'
    assert isinstance(scene.last.attempt.permit, Permit)


def test_silent_engine_is_not_left_while_it_may_not_be_asked():
    """Guards against prompts read twice because an engine in need cannot be probed."""
    scene = make_scene(engines=2)
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()
    limit(scene, 'e0', 'e1')
    scene.attempts.lives = False
    scene.advance(700)

    assert len(scene.attempts.sent) == 1
    assert not scene.last.cancelled


def test_limited_engine_serves_what_no_other_engine_takes():
    """Guards against refusals while a limited engine still takes some calls."""
    scene = make_scene(engines=2)
    limit(scene, 'e0', per_s=5.0)
    fill(scene, 'e0')
    for number in range(8):
        scene.start('/draft/1', prompt=make_prompt(f'p{number}'))
    scene.parts.roster.end(scene.parts.roster.get('e1').entry.run)
    scene.advance(PERMIT_MS)
    sent = len(scene.attempts.sent)
    scene.start('/draft/1', prompt=make_prompt())

    assert len(scene.attempts.sent) == sent + 1
    assert scene.last.endpoint == 'e0'
