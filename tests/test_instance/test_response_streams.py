"""Tests of streamed responses: resumes, crashes, late and lost chunks."""

from __future__ import annotations

import msgspec
from instance_steps import make_failure, start_stream

from savorychute.actions import (
    CancelAttempt,
    FinishResponse,
    SendChunk,
    StartAttempt,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    CallerLeft,
)
from savorychute.result_code import ResultCode


def test_repeated_chunk_is_dropped(solo):
    start = start_stream(solo, tokens=('a', 'b'))

    solo.deliver(AttemptChunk(start.attempt_id, 1, 1, b'b'))

    assert [chunk.data for chunk in solo.find(SendChunk)] == [b'a', b'b']


def test_stream_is_resumed_after_a_lost_chunk(solo):
    """Guards against a response in which a token is missing.

    Tokens 0 and 1 arrive, token 2 is lost in transit, token 3 arrives.  The
    attempt must be abandoned and the stream resumed at token 2.
    """
    start = start_stream(solo, tokens=('a', 'b'))

    actions = solo.deliver(AttemptChunk(start.attempt_id, 3, 1, b'd'))

    assert CancelAttempt(start.attempt_id) in actions
    new_attempt = next(action for action in actions if isinstance(action, StartAttempt))
    assert new_attempt.stream_id == start.stream_id
    assert new_attempt.resume_offset == 2
    assert [chunk.data for chunk in solo.find(SendChunk)] == [b'a', b'b']


def test_late_chunk_of_an_earlier_attempt_is_dropped(solo):
    """Guards against a response that mixes tokens of two attempts.

    The connection to the engine breaks and the request is retried.  Then the
    last chunk of the first attempt arrives late.
    """
    start = start_stream(solo, tokens=('a',))
    solo.deliver(make_failure(start.attempt_id, crashed=True))

    solo.deliver(AttemptChunk(start.attempt_id, 1, 1, b'late'))

    assert b'late' not in [chunk.data for chunk in solo.find(SendChunk)]


def test_response_continues_elsewhere_after_an_engine_crash(solo):
    """Guards against a response that is truncated or starts from the beginning.

    The engine crashes after two tokens.  Another engine must continue from the
    text that the caller already has and must not generate any of it again.
    """
    start = start_stream(solo, tokens=('Hello', ' there'))
    solo.deliver(make_failure(start.attempt_id, crashed=True))
    solo.run_for(3_000)

    new_attempt = solo.find(StartAttempt)[-1]
    continuation = msgspec.json.decode(new_attempt.body)['continue_from']
    assert new_attempt.endpoint != start.endpoint
    assert new_attempt.resume_offset == -1
    assert continuation == {'offset': 2, 'text': 'Hello there'}


def test_attempt_is_cancelled_when_the_caller_leaves(solo):
    start = start_stream(solo)

    actions = solo.deliver(CallerLeft('r1'))

    assert actions == [CancelAttempt(start.attempt_id)]
    assert solo.instance.idle


def test_response_with_too_few_tokens_is_not_finished(solo):
    """Guards against a partial response that looks complete.

    The engine ends its stream and reports five tokens, but only two arrived.
    The end marker alone must not finish the response.
    """
    start = start_stream(solo, tokens=('a', 'b'))

    solo.deliver(AttemptEnded(start.attempt_id, 5))

    assert not solo.find(FinishResponse)
    assert solo.find(StartAttempt)[-1].resume_offset == 2


def test_expired_request_ends_at_once_and_its_attempt_is_cancelled(solo):
    start = start_stream(solo)
    for offset in range(2, 104):
        solo.run_for(100)
        solo.deliver(AttemptChunk(start.attempt_id, offset, 1, b'x'))

    finish = solo.find(FinishResponse)[0]
    assert finish.code is ResultCode.ANSWER_TIMEOUT
    assert CancelAttempt(start.attempt_id) in solo.find(CancelAttempt)
