"""Tests of instances that shut down and endpoints that leave or drain."""

from __future__ import annotations

from instance_steps import call_operator, make_failure, start_stream

from savorychute.actions import (
    FinishResponse,
    RefuseRequest,
    StartAttempt,
)
from savorychute.inputs import (
    AttemptEnded,
    AttemptSent,
    LoadReported,
    ShutdownRequested,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.testing.solo import (
    Solo,
    make_contract,
    make_engine,
    make_request,
)

READY_MS = 5_000


def test_request_refused_by_a_leaving_endpoint_is_retried_elsewhere(solo):
    """Guards against a refusal although another endpoint has capacity.

    A leaving engine refuses the request before it starts.  Later requests must
    not go to that engine either.
    """
    solo.deliver(make_request('r1'))
    start = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(start.attempt_id))
    solo.deliver(make_failure(start.attempt_id, refused=True, leaving=True))
    solo.deliver(make_request('r2'))

    later_endpoints = {attempt.endpoint for attempt in solo.find(StartAttempt)[1:]}
    assert later_endpoints == {'engine-1', 'engine-2'} - {start.endpoint}


def test_shutdown_finishes_running_requests_and_refuses_new_ones(solo):
    """Guards against a graceful shutdown that truncates running responses.

    The instance is shut down while a stream runs.  Then a new request arrives,
    and after that the end of the stream.
    """
    start = start_stream(solo)
    solo.deliver(ShutdownRequested())

    refused = solo.deliver(make_request('r2'))
    solo.deliver(AttemptEnded(start.attempt_id, 2))

    assert refused[0].code is ResultCode.SHUTTING_DOWN
    assert refused[0].ran is Ran.NOT_RUN
    assert solo.find(FinishResponse) == [FinishResponse('r1')]


def test_issuer_settles_its_own_keys_during_shutdown(solo):
    """Guards against redirecting a caller in a loop.

    The caller has a key of an instance that starts to shut down before the
    request arrives.  Other instances would redirect the request back, because
    only the issuer decides the key.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    solo.deliver(ShutdownRequested())

    actions = solo.deliver(make_request('r1', 'booking')._replace(key=key))

    refusal = next(action for action in actions if isinstance(action, RefuseRequest))
    assert refusal.code is ResultCode.SHUTTING_DOWN
    assert refusal.ran is Ran.NOT_RUN
    assert not refusal.location


def test_drained_endpoint_gets_no_new_requests(solo):
    code, _ = call_operator(solo, 'endpoint-drain', endpoint='engine-1', why='repair')
    assert code is ResultCode.OK

    for number in range(4):
        solo.deliver(make_request(f'r{number}'))

    assert {start.endpoint for start in solo.find(StartAttempt)} == {'engine-2'}


def test_refused_request_waits_for_credit_elsewhere():
    """Guards against a refusal although another endpoint is soon free.

    One endpoint is fully used by other requests, the other one refuses.
    Retrying there at once would use up all attempts within milliseconds.
    """
    solo = Solo(
        contracts=[make_contract()],
        endpoints=[make_engine('engine-1', slots=1), make_engine('engine-2', slots=1)],
    )
    solo.run_for(READY_MS)
    first = start_stream(solo, 'r1')
    solo.deliver(make_request('r2')._replace(body=b'{"other":1}'))
    refused = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(refused.attempt_id))
    solo.deliver(make_failure(refused.attempt_id, refused=True))
    solo.run_for(500)
    assert len(solo.find(StartAttempt)) == 2

    solo.deliver(AttemptEnded(first.attempt_id, 2))

    assert solo.find(StartAttempt)[-1].endpoint == first.endpoint
    assert solo.find(StartAttempt)[-1].request_id == 'r2'


def test_request_that_no_endpoint_serves_is_refused_at_once(solo):
    """Guards against a caller that waits until its deadline without need.

    An operator has drained every engine of the model.
    """
    for name in ('engine-1', 'engine-2'):
        call_operator(solo, 'endpoint-drain', endpoint=name, why='repair')

    actions = solo.deliver(make_request('r1'))

    assert [action.code for action in actions] == [ResultCode.NO_ENDPOINT]
    assert actions[0].ran is Ran.NOT_RUN
    assert actions[0].retry_after_ms > 0


def test_engine_without_the_model_gets_no_request_for_it(solo):
    """Guards against requests that one engine after another refuses.

    The configuration permits more models than the engine has loaded; its load
    reports contain only the loaded ones.
    """
    report = LoadReported(
        'engine-1', 0, 0, 0, 1.0, 5.0, ('other',), 'active', 0, (), (), False
    )
    solo.deliver(report)

    for number in range(4):
        solo.deliver(make_request(f'r{number}'))

    assert {start.endpoint for start in solo.find(StartAttempt)} == {'engine-2'}
