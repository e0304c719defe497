"""Tests of requests for services whose endpoints state limits."""

from __future__ import annotations

import pytest
from gateway_fakes import SUCCESS, make_gateway, make_prompt

from savorychute.gateway.dispatch.limited_endpoints import MOST_PERMITS
from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_desk import PERMIT_MS
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.membership.rendezvous import score_member
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
    scene = make_gateway(desks=1)
    limit(scene, 'd0')
    fill(scene, 'd0')
    _, caller = scene.start()

    assert isinstance(scene.last_attempt.attempt.permit, Permit)
    scene.last_attempt.respond(SUCCESS, b'visit 7')
    assert caller.status == 200


def test_request_goes_to_another_endpoint_where_a_limit_is_used_up():
    """Guards against refusals while another endpoint has room."""
    scene = make_gateway(desks=3)
    limit(scene, 'd0', 'd1')
    endpoints = set()
    for _ in range(20):
        scene.start()
        endpoints.add(scene.last_attempt.endpoint)

    assert endpoints == {'d2'}


@pytest.mark.parametrize('path', ['/visit/1', '/draft/1'])
def test_request_is_refused_at_once_where_all_limits_are_used_up(path):
    """Guards against a caller that waits for its deadline, or comes back too soon."""
    scene = make_gateway(desks=2, engines=2)
    limit(scene, 'd0', 'd1', 'e0', 'e1', per_s=0.5)
    _, caller = scene.start(path, prompt=make_prompt() if 'draft' in path else None)

    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms >= 2_000
    assert not scene.attempts.sent


def test_limited_engine_is_not_asked_for_its_load():
    """Guards against load reports that use up what an engine takes."""
    scene = make_gateway(engines=1)
    limit(scene, 'e0', per_s=20.0)
    fill(scene, 'e0')
    scene.start('/draft/1', prompt=make_prompt())

    assert len(scene.attempts.sent) == 1
    assert not scene.attempts.probes


def test_attempt_whose_endpoint_states_a_limit_meanwhile_goes_elsewhere():
    """Guards against a call that was chosen before the limit was known."""
    scene = make_gateway(desks=2)
    course, caller = scene.start()
    first = scene.last_attempt
    limit(scene, first.endpoint)
    first.listener.attempt_withheld()

    assert scene.last_attempt.endpoint != first.endpoint
    scene.last_attempt.respond(SUCCESS)
    assert caller.status == 200
    assert course.possible_executions == 0


def test_withheld_attempt_gets_a_permit_where_no_other_endpoint_is_there():
    """Guards against a refusal by the only endpoint, which still takes the call."""
    scene = make_gateway(desks=1)
    limit(scene, 'd0')
    fill(scene, 'd0')
    limit(scene, 'd0', per_s=None)
    _, caller = scene.start()
    assert scene.last_attempt.attempt.permit is None
    limit(scene, 'd0')
    scene.last_attempt.listener.attempt_withheld()

    assert caller.state == 'waiting'
    assert isinstance(scene.last_attempt.attempt.permit, Permit)


def test_silent_engine_is_not_left_while_it_may_not_be_asked():
    """Guards against prompts read twice because an engine in need cannot be probed."""
    scene = make_gateway(engines=2)
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last_attempt.mark_sent()
    limit(scene, 'e0', 'e1')
    scene.attempts.engines_alive = False
    scene.advance(700)

    assert len(scene.attempts.sent) == 1
    assert not scene.last_attempt.cancelled


def test_limited_engine_serves_what_no_other_engine_takes():
    """Guards against refusals while a limited engine still takes some calls."""
    scene = make_gateway(engines=2)
    limit(scene, 'e0', per_s=5.0)
    fill(scene, 'e0')
    for number in range(8):
        scene.start('/draft/1', prompt=make_prompt(f'p{number}'))
    scene.parts.roster.end(scene.parts.roster.get('e1').entry.run)
    scene.advance(PERMIT_MS)
    sent = len(scene.attempts.sent)
    scene.start('/draft/1', prompt=make_prompt())

    assert len(scene.attempts.sent) == sent + 1
    assert scene.last_attempt.endpoint == 'e0'


def make_scarce(scene, endpoint):
    """Let an engine with a limit have denied a call, and saved up some since."""
    limit(scene, endpoint)
    fill(scene, endpoint)


@pytest.mark.parametrize('path', ['/draft/1', '/diagnosis/1'])
@pytest.mark.parametrize('endpoint', ['e0', 'e1', 'e2'])
def test_engine_that_denied_a_call_is_the_last_choice(endpoint, path):
    """Guards against lanes and homes that move with each permit."""
    for number in range(5):
        scene = make_gateway(engines=3)
        make_scarce(scene, endpoint)
        limit(scene, endpoint)
        scene.start(path, prompt=make_prompt(f'p{number}'))

        assert scene.last_attempt.endpoint != endpoint


def test_engine_that_is_denied_for_a_moment_is_asked_once():
    """Guards against a caller that waits for one home again and again."""
    scene = make_gateway(engines=2)
    limit(scene, 'e0', 'e1', per_s=40.0)
    _, caller = scene.start('/draft/1', prompt=make_prompt())

    assert caller.state == 'refused'
    assert permits_asked(scene) == 2


def test_endpoint_that_leaves_while_its_permit_is_asked_for_gets_nothing():
    """Guards against a call to a leaving endpoint, chosen before it was known."""
    scene = make_gateway(desks=2)
    questions = ask_others(scene, 'd0')
    limit(scene, 'd0')
    while not questions:
        scene.start()
    entry = scene.parts.roster.get('d0').entry
    scene.parts.roster.apply(entry._replace(draining=True, sequence=2))
    scene.parts.permits.take_answer(PermitAnswer(questions[-1].message.sequence, 0))

    assert scene.last_attempt.endpoint == 'd1'


def ask_others(scene, endpoint):
    """Let another instance be an endpoint's home; return the list of questions to it."""
    questions = []
    scene.parts.permits.send = questions.append
    own, other = make_address('kochi-1'), make_address('kochi-2')
    key = f'{endpoint}/0'
    number = 2
    while score_member(key, other) < score_member(key, own):
        number += 1
        other = make_address(f'kochi-{number}')
    scene.parts.permits.follow(MemberView(own, (own, other)))
    return questions


def make_address(name):
    return MemberAddress(name, 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)


def test_limited_engine_takes_a_request_that_would_wait_elsewhere():
    """Guards against calls that an engine takes and nobody sends, while others wait."""
    scene = make_gateway(engines=2)
    make_scarce(scene, 'e0')
    limit(scene, 'e0')
    scene.attempts.loads['e1'] = EngineLoad(
        waiting=3, reading=1, generating=4, next_tokens=17_000
    )
    scene.start('/diagnosis/1', prompt=make_prompt())

    assert scene.last_attempt.endpoint == 'e0'


def test_limited_engine_is_called_in_a_while_to_see_whether_its_limit_stands():
    """Guards against a limit that lasts because nobody calls the engine any more."""
    scene = make_gateway(engines=2)
    make_scarce(scene, 'e0')
    scene.start('/draft/1', prompt=make_prompt())

    assert scene.last_attempt.endpoint == 'e0'


def test_plain_endpoint_is_called_for_all_that_it_takes():
    """Guards against a limit that is hardly used, where no lanes are at stake."""
    scene = make_gateway(desks=2)
    limit(scene, 'd0')
    fill(scene, 'd0')
    limit(scene, 'd0')
    for _ in range(30):
        scene.start()

    sent = [each.endpoint for each in scene.attempts.sent]
    assert sent.count('d0') >= 2
    assert sent.count('d1') >= 20


def test_request_asks_only_so_many_limited_endpoints():
    """Guards against a caller that waits for the homes of all endpoints in turn."""
    scene = make_gateway(desks=2 * MOST_PERMITS)
    limit(scene, *(f'd{number}' for number in range(2 * MOST_PERMITS)))
    _, caller = scene.start()

    assert caller.state == 'refused'
    assert permits_asked(scene) == MOST_PERMITS


def permits_asked(scene):
    """Return how many permits were granted or denied."""
    text = scene.parts.telemetry.metrics.render()[0].decode()
    lines = [each for each in text.splitlines() if 'permits_total{' in each]
    return sum(int(float(line.split()[-1])) for line in lines)
