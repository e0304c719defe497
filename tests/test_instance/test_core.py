"""Tests of a complete instance that is driven step by step."""

from __future__ import annotations

import pytest
from instance_steps import make_failure, start_stream

from savorychute.actions import (
    FinishResponse,
    RefuseRequest,
    SendChunk,
    StartAttempt,
    StartResponse,
)
from savorychute.inputs import (
    AttemptEnded,
    AttemptSent,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.testing.solo import (
    Solo,
    make_request,
)


def test_streamed_response_is_passed_on_and_finished(solo):
    start = start_stream(solo)

    solo.deliver(AttemptEnded(start.attempt_id, 2))

    assert [chunk.data for chunk in solo.find(SendChunk)] == [b'Hello', b' there']
    assert solo.find(StartResponse)[0].handle
    assert solo.find(FinishResponse) == [FinishResponse('r1')]
    assert solo.instance.idle


def test_request_is_refused_before_a_configuration_is_in_force():
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
def test_invalid_request_is_refused_without_an_attempt(solo, changes, code):
    actions = solo.deliver(make_request('r1')._replace(**changes))

    assert [action.code for action in actions] == [code]
    assert actions[0].ran is Ran.NOT_RUN
    assert actions[0].retry_after_ms == 0
    assert not solo.find(StartAttempt)
    assert solo.instance.idle


def test_sent_request_is_never_reported_as_not_run(solo):
    """Guards against a caller that sends a completed booking again.

    The connection breaks after the request was sent.  It is unknown whether the
    endpoint ran the request, so it must not be reported as 'not run'.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    solo.deliver(make_request('r1', 'booking')._replace(key=key))
    solo.run_for(1_000)
    starts = solo.find(StartAttempt)
    assert len(starts) == 1
    solo.deliver(AttemptSent(starts[0].attempt_id))

    actions = solo.deliver(make_failure(starts[0].attempt_id, crashed=True))

    refusal = next(action for action in actions if isinstance(action, RefuseRequest))
    assert refusal.code is ResultCode.OUTCOME_UNKNOWN
    assert refusal.ran is Ran.UNKNOWN
    solo.run_for(5_000)
    assert len(solo.find(StartAttempt)) == 1
