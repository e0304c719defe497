"""Tests of a whole instance that is driven by hand."""

from __future__ import annotations

import msgspec
import pytest

from savorychute.actions import (
    CancelAttempt,
    FinishResponse,
    OperatorReply,
    RefuseRequest,
    SendChunk,
    StartAttempt,
    StartResponse,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptSent,
    AttemptStarted,
    CallerLeft,
    OperatorCommand,
    ShutdownRequested,
)
from savorychute.ran import Ran
from savorychute.requests import ContinuationHandle
from savorychute.result_code import ResultCode
from savorychute.testing.solo import (
    OPERATOR_TOKEN,
    OTHER_CUSTOMER,
    OTHER_TOKEN,
    Solo,
    make_contract,
    make_engine,
    make_request,
)

READY_MS = 5_000
READ_BACK_MS = 1_000


@pytest.fixture
def solo():
    driven = Solo(
        contracts=[
            make_contract(),
            make_contract(OTHER_CUSTOMER, OTHER_TOKEN, pool_share=0.2),
        ],
        endpoints=[make_engine('engine-1'), make_engine('engine-2')],
    )
    driven.run_for(READY_MS)
    assert driven.instance.ready
    driven.actions.clear()
    return driven


def start_stream(solo, request_id='r1', tokens=('Hello', ' there')):
    """Bring a request to the point where its first tokens were passed on."""
    solo.deliver(make_request(request_id))
    start = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(start.attempt_id))
    solo.deliver(
        AttemptStarted(start.attempt_id, 200, 'text/event-stream', start.stream_id)
    )
    for offset, text in enumerate(tokens):
        solo.deliver(AttemptChunk(start.attempt_id, offset, 1, text.encode()))
    return start


def make_failure(attempt_id, **flags):
    fields = {'sent': True, 'refused': False, 'leaving': False, 'crashed': False}
    return AttemptFailed(attempt_id, reason='test', **{**fields, **flags})


def call_operator(solo, verb, token=OPERATOR_TOKEN, **arguments):
    body = msgspec.json.encode(arguments)
    solo.deliver(OperatorCommand('c1', token, verb, body))
    solo.run_for(READ_BACK_MS)
    reply = solo.find(OperatorReply)[-1]
    return reply.code, msgspec.json.decode(reply.document)


def test_streamed_answer_is_passed_on_and_ended(solo):
    start = start_stream(solo)

    solo.deliver(AttemptEnded(start.attempt_id, 2))

    assert [chunk.data for chunk in solo.find(SendChunk)] == [b'Hello', b' there']
    assert solo.find(StartResponse)[0].handle
    assert solo.find(FinishResponse) == [FinishResponse('r1')]
    assert solo.instance.idle


def test_nothing_is_served_before_a_configuration_is_there():
    solo = Solo()
    actions = solo.deliver(make_request('r1'))

    assert actions[0].code is ResultCode.NOT_READY
    assert actions[0].ran is Ran.NOT_RUN


@pytest.mark.parametrize(
    ('changes', 'code'),
    [
        ({'token': 'wrong'}, ResultCode.UNAUTHENTICATED),
        ({'class_name': 'express'}, ResultCode.UNKNOWN_CLASS),
        ({'model': 'huge'}, ResultCode.UNKNOWN_MODEL),
        ({'class_name': 'booking'}, ResultCode.KEY_REQUIRED),
        ({'handle': 'nonsense'}, ResultCode.HANDLE_MALFORMED),
        ({'class_name': 'booking', 'key': 'x'}, ResultCode.KEY_MALFORMED),
    ],
)
def test_bad_request_is_refused_without_effect(solo, changes, code):
    actions = solo.deliver(make_request('r1')._replace(**changes))

    assert [action.code for action in actions] == [code]
    assert actions[0].ran is Ran.NOT_RUN
    assert not solo.find(StartAttempt)
    assert solo.instance.idle


def test_repeated_chunk_is_dropped(solo):
    start = start_stream(solo, tokens=('a', 'b'))

    solo.deliver(AttemptChunk(start.attempt_id, 1, 1, b'b'))

    assert [chunk.data for chunk in solo.find(SendChunk)] == [b'a', b'b']


def test_lost_chunk_is_fetched_again_from_the_stream(solo):
    """The caller would see a sentence with a hole in it.

    Tokens 0 and 1 arrive, token 2 is lost on the way, token 3 arrives.  The
    attempt has to be given up and the stream resumed at token 2.
    """
    start = start_stream(solo, tokens=('a', 'b'))

    actions = solo.deliver(AttemptChunk(start.attempt_id, 3, 1, b'd'))

    assert CancelAttempt(start.attempt_id) in actions
    again = next(action for action in actions if isinstance(action, StartAttempt))
    assert again.stream_id == start.stream_id
    assert again.resume_offset == 2
    assert [chunk.data for chunk in solo.find(SendChunk)] == [b'a', b'b']


def test_late_chunk_of_an_earlier_attempt_reaches_nobody(solo):
    """The caller would get tokens of two attempts mixed into one answer.

    The connection to the engine breaks, the request goes on in a second
    attempt, and then the first attempt's last chunk arrives after all.
    """
    start = start_stream(solo, tokens=('a',))
    solo.deliver(make_failure(start.attempt_id, crashed=True))

    solo.deliver(AttemptChunk(start.attempt_id, 1, 1, b'late'))

    assert b'late' not in [chunk.data for chunk in solo.find(SendChunk)]


def test_answer_goes_on_elsewhere_after_an_engine_crash(solo):
    """The caller would see its answer break off, or start again from the top.

    The engine crashes after two tokens.  Another engine has to go on from the
    text that the caller already has, and make none of it twice.
    """
    start = start_stream(solo, tokens=('Hello', ' there'))
    solo.deliver(make_failure(start.attempt_id, crashed=True))
    solo.run_for(3_000)

    again = solo.find(StartAttempt)[-1]
    going_on = msgspec.json.decode(again.body)['continue_from']
    assert again.endpoint != start.endpoint
    assert again.resume_offset == -1
    assert going_on == {'offset': 2, 'text': 'Hello there'}


def test_caller_that_leaves_frees_the_engine(solo):
    start = start_stream(solo)

    actions = solo.deliver(CallerLeft('r1'))

    assert actions == [CancelAttempt(start.attempt_id)]
    assert solo.instance.idle


def test_answer_short_of_its_count_is_not_passed_off_as_whole(solo):
    """The caller would take half an answer for the whole one.

    The engine ends its stream and says that it made five tokens, but only two
    arrived; the end marker alone must not finish the answer.
    """
    start = start_stream(solo, tokens=('a', 'b'))

    solo.deliver(AttemptEnded(start.attempt_id, 5))

    assert not solo.find(FinishResponse)
    assert solo.find(StartAttempt)[-1].resume_offset == 2


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


def test_stream_of_another_customer_cannot_be_resumed(solo):
    """A customer would read another one's answer.

    It sends a continuation handle that names a stream which belongs to
    somebody else.
    """
    start = start_stream(solo)
    handle = ContinuationHandle(start.endpoint, start.stream_id, 0).encode()

    forged = make_request('r2')._replace(token=OTHER_TOKEN, handle=handle)
    actions = solo.deliver(forged)

    assert [action.code for action in actions] == [ResultCode.HANDLE_MALFORMED]


def test_own_stream_is_resumed_by_its_handle(solo):
    start = start_stream(solo)
    handle = ContinuationHandle(start.endpoint, start.stream_id, 2).encode()

    solo.deliver(make_request('r2')._replace(handle=handle))

    resumed = solo.find(StartAttempt)[-1]
    assert (resumed.stream_id, resumed.resume_offset) == (start.stream_id, 2)


def resume_elsewhere(solo, offset, body=None):
    """Take a stream up by its handle, pass one token, and crash the engine."""
    start = start_stream(solo)
    handle = ContinuationHandle(start.endpoint, start.stream_id, offset).encode()
    request = make_request('r2')._replace(handle=handle)
    solo.deliver(request._replace(body=body or request.body))
    resumed = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(resumed.attempt_id))
    solo.deliver(
        AttemptStarted(resumed.attempt_id, 200, 'text/event-stream', resumed.stream_id)
    )
    solo.deliver(AttemptChunk(resumed.attempt_id, offset, 1, b' end'))
    solo.deliver(make_failure(resumed.attempt_id, crashed=True))
    solo.run_for(3_000)
    return next(
        each for each in reversed(solo.find(StartAttempt)) if each.request_id == 'r2'
    )


def test_answer_does_not_go_on_from_a_part_of_its_text(solo):
    """The caller would get an answer whose end does not follow its beginning.

    A stream is resumed here by its handle after its instance died, then its
    engine crashes.  This instance knows only the text since the resume; an
    engine that went on from that alone would answer something else.
    """
    again = resume_elsewhere(solo, offset=2)

    assert b'continue_from' not in again.body


def test_answer_goes_on_from_the_text_that_the_caller_sent(solo):
    document = msgspec.json.decode(make_request('r2').body)
    document['continue_from'] = {'offset': 2, 'text': 'Hello there'}

    again = resume_elsewhere(solo, offset=2, body=msgspec.json.encode(document))

    going_on = msgspec.json.decode(again.body)['continue_from']
    assert going_on == {'offset': 3, 'text': 'Hello there end'}


def test_request_that_was_sent_is_never_called_not_run(solo):
    """A caller would send a booking again that was already made.

    The connection breaks after the request was sent; whether the endpoint
    took it up is unknown, and saying 'not run' would be a guess.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    solo.deliver(make_request('r1', 'booking')._replace(key=key))
    solo.run_for(1_000)
    starts = solo.find(StartAttempt)
    assert len(starts) == 1
    solo.deliver(AttemptSent(starts[0].attempt_id))

    actions = solo.deliver(make_failure(starts[0].attempt_id, crashed=True))

    refusal = next(each for each in actions if isinstance(each, RefuseRequest))
    assert refusal.code is ResultCode.OUTCOME_UNKNOWN
    assert refusal.ran is Ran.UNKNOWN
    solo.run_for(5_000)
    assert len(solo.find(StartAttempt)) == 1


def test_deadline_is_answered_at_once_and_frees_the_engine(solo):
    start = start_stream(solo)
    for offset in range(2, 104):
        solo.run_for(100)
        solo.deliver(AttemptChunk(start.attempt_id, offset, 1, b'x'))

    finish = solo.find(FinishResponse)[0]
    assert finish.code is ResultCode.ANSWER_TIMEOUT
    assert CancelAttempt(start.attempt_id) in solo.find(CancelAttempt)


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


def test_explain_tells_where_a_request_went(solo):
    start = start_stream(solo)
    solo.deliver(AttemptEnded(start.attempt_id, 2))

    code, answer = call_operator(solo, 'explain', request_id='r1')

    assert code is ResultCode.OK
    states = [event['after'] for event in answer['history']]
    assert states == [
        'queued',
        'granted',
        'sending',
        'running',
        'streaming',
        'answered',
    ]


@pytest.mark.parametrize(
    ('verb', 'token', 'code'),
    [
        ('status', 'wrong', ResultCode.UNAUTHENTICATED),
        ('status', 'token-acme', ResultCode.UNAUTHENTICATED),
        ('reboot', OPERATOR_TOKEN, ResultCode.NOT_FOUND),
        ('explain', OPERATOR_TOKEN, ResultCode.BAD_FIELD),
        ('status', OPERATOR_TOKEN, ResultCode.OK),
        ('instance-list', OPERATOR_TOKEN, ResultCode.OK),
        ('endpoint-list', OPERATOR_TOKEN, ResultCode.OK),
    ],
)
def test_operator_commands_are_checked(solo, verb, token, code):
    assert call_operator(solo, verb, token=token)[0] is code
