"""Tests of instances and endpoints that leave."""

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


def test_request_refused_by_a_leaving_endpoint_moves(solo):
    """A caller would be turned away although another endpoint has room.

    An engine that is going away refuses the request before it starts; no
    later request may go to that engine either.
    """
    solo.deliver(make_request('r1'))
    start = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(start.attempt_id))
    solo.deliver(make_failure(start.attempt_id, refused=True, leaving=True))
    solo.deliver(make_request('r2'))

    later = {each.endpoint for each in solo.find(StartAttempt)[1:]}
    assert later == {'engine-1', 'engine-2'} - {start.endpoint}


def test_leaving_instance_finishes_what_runs_and_takes_nothing_new(solo):
    """A graceful restart would cut off answers in progress.

    The instance is told to leave while a stream runs; a new request comes
    after that, and then the stream's last token.
    """
    start = start_stream(solo)
    solo.deliver(ShutdownRequested())

    refused = solo.deliver(make_request('r2'))
    solo.deliver(AttemptEnded(start.attempt_id, 2))

    assert refused[0].code is ResultCode.SHUTTING_DOWN
    assert refused[0].ran is Ran.NOT_RUN
    assert solo.find(FinishResponse) == [FinishResponse('r1')]


def test_leaving_issuer_settles_its_own_keys(solo):
    """A caller would be redirected in a circle until it gives up.

    The caller has a key of an instance that is told to leave before the
    request comes.  Sent elsewhere, the request would be sent back here,
    because only the issuer decides the key.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    solo.deliver(ShutdownRequested())

    actions = solo.deliver(make_request('r1', 'booking')._replace(key=key))

    refusal = next(each for each in actions if isinstance(each, RefuseRequest))
    assert refusal.code is ResultCode.SHUTTING_DOWN
    assert refusal.ran is Ran.NOT_RUN
    assert not refusal.location


def test_drained_endpoint_gets_nothing_new(solo):
    code, _ = call_operator(solo, 'endpoint-drain', endpoint='engine-1', why='repair')
    assert code is ResultCode.OK

    for number in range(4):
        solo.deliver(make_request(f'r{number}'))

    assert {start.endpoint for start in solo.find(StartAttempt)} == {'engine-2'}


def test_refused_request_waits_for_credit_elsewhere():
    """A caller would be refused although another endpoint is about to be free.

    One endpoint is full of other requests, the other one refuses.  Going back
    to it at once would use up all tries within milliseconds.
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
    """A caller waits until its deadline for what nobody will give it.

    Every engine of the model was drained by an operator.
    """
    for name in ('engine-1', 'engine-2'):
        call_operator(solo, 'endpoint-drain', endpoint=name, why='repair')

    actions = solo.deliver(make_request('r1'))

    assert [action.code for action in actions] == [ResultCode.NO_ENDPOINT]
    assert actions[0].ran is Ran.NOT_RUN
    assert actions[0].retry_after_ms > 0


def test_engine_without_the_model_gets_no_request_for_it(solo):
    """Callers wait while their requests are refused by one engine after another.

    The configuration permits an engine more models than it has loaded, and the
    engine says so in its load reports.
    """
    report = LoadReported(
        'engine-1', 0, 0, 0, 1.0, 5.0, ('other',), 'active', 0, (), (), False
    )
    solo.deliver(report)

    for number in range(4):
        solo.deliver(make_request(f'r{number}'))

    assert {start.endpoint for start in solo.find(StartAttempt)} == {'engine-2'}
