"""Tests of streams that are resumed by a handle."""

from __future__ import annotations

import msgspec
from instance_steps import make_failure, start_stream

from savorychute.actions import (
    StartAttempt,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptSent,
    AttemptStarted,
)
from savorychute.requests import ContinuationHandle
from savorychute.result_code import ResultCode
from savorychute.testing.solo import (
    OTHER_TOKEN,
    make_request,
)


def test_stream_of_another_organisation_cannot_be_resumed(solo):
    """Guards against an organisation that reads the response of another one.

    It sends a continuation handle with a stream of the other organisation.
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
    """Resume a stream by its handle, pass on one token and crash the engine."""
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
        attempt
        for attempt in reversed(solo.find(StartAttempt))
        if attempt.request_id == 'r2'
    )


def test_response_is_not_continued_from_a_part_of_its_text(solo):
    """Guards against a response whose end does not match its beginning.

    A stream is resumed here by its handle after its instance crashed, then its
    engine crashes too.  This instance has only the text since the resume; an
    engine that continued from that alone would generate something else.
    """
    new_attempt = resume_elsewhere(solo, offset=2)

    assert b'continue_from' not in new_attempt.body


def test_response_continues_from_the_text_that_the_caller_sent(solo):
    document = msgspec.json.decode(make_request('r2').body)
    document['continue_from'] = {'offset': 2, 'text': 'Hello there'}

    new_attempt = resume_elsewhere(solo, offset=2, body=msgspec.json.encode(document))

    continuation = msgspec.json.decode(new_attempt.body)['continue_from']
    assert continuation == {'offset': 3, 'text': 'Hello there end'}
