"""Tests of answers: splices, crashes, late and lost chunks."""

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


def test_deadline_is_answered_at_once_and_frees_the_engine(solo):
    start = start_stream(solo)
    for offset in range(2, 104):
        solo.run_for(100)
        solo.deliver(AttemptChunk(start.attempt_id, offset, 1, b'x'))

    finish = solo.find(FinishResponse)[0]
    assert finish.code is ResultCode.ANSWER_TIMEOUT
    assert CancelAttempt(start.attempt_id) in solo.find(CancelAttempt)
