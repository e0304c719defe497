"""Tests of streams that are resumed by a handle."""

from __future__ import annotations

from operator import itemgetter

import msgspec
import pytest
from instance_steps import call_operator, make_failure, start_stream

from savorychute.actions import (
    CancelAttempt,
    StartAttempt,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptSent,
    AttemptStarted,
    CallerLeft,
)
from savorychute.requests import ContinuationHandle
from savorychute.result_code import ResultCode
from savorychute.testing.solo import (
    OTHER_TOKEN,
    Solo,
    make_contract,
    make_engine,
    make_request,
)

SLOTS = 4
READY_MS = 5_000


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


def fill_engines(solo):
    """Start streams until both engines are full; return their starts."""
    starts = [start_stream(solo, f'f{number}') for number in range(2 * SLOTS)]
    assert {start.endpoint for start in starts} == {'engine-1', 'engine-2'}
    return starts


def resume_interrupted(solo, kept, request_id='r2', **fields):
    """Send a request of a caller whose instance crashed; return its attempts."""
    handle = ContinuationHandle(kept.endpoint, kept.stream_id, 2)._replace(**fields)
    solo.deliver(make_request(request_id)._replace(handle=handle.encode()))
    return find_attempts(solo, request_id)


def find_attempts(solo, request_id):
    return [each for each in solo.find(StartAttempt) if each.request_id == request_id]


def test_interrupted_stream_resumes_where_it_is_kept_without_credit(solo):
    """Guards against tokens that are generated twice after a crash of an instance.

    The instance that the caller turns to has no credit at the engine that keeps the
    stream, but one at another engine, and let that one go on from the caller's offset.
    """
    starts = fill_engines(solo)
    kept = starts[0]
    other = 'engine-2' if kept.endpoint == 'engine-1' else 'engine-1'
    solo.deliver(CallerLeft(free_caller(starts, other)))

    (resumed,) = resume_interrupted(solo, kept)

    assert resumed.endpoint == kept.endpoint
    assert (resumed.stream_id, resumed.resume_offset) == (kept.stream_id, 2)
    assert resumed.only_if_interrupted


def free_caller(starts, endpoint):
    """Return the request of a stream at an endpoint."""
    return next(start.request_id for start in starts[1:] if start.endpoint == endpoint)


def test_resume_with_credit_does_not_depend_on_the_interruption(solo):
    start = start_stream(solo)

    (resumed,) = resume_interrupted(solo, start)

    assert not resumed.only_if_interrupted


def test_paused_stream_waits_for_credit(solo):
    """Guards against streams that take the slots for which they were paused.

    A stream is paused for a request of a higher tier, then its instance crashes.  The
    engine refuses to resume it without credit.
    """
    starts = fill_engines(solo)
    kept = starts[0]
    names = [f'r{number}' for number in range(4)]
    for name in names:
        (refused,) = resume_interrupted(solo, kept, name)
        solo.deliver(make_failure(refused.attempt_id, refused=True, paused=True))
    solo.run_for(100)
    attempts_while_full = [len(find_attempts(solo, name)) for name in names]
    leaving = [each for each in starts[1:] if each.endpoint == kept.endpoint]
    for start in leaving:
        solo.deliver(CallerLeft(start.request_id))
    resumed = [each for name in names for each in find_attempts(solo, name)[1:]]

    assert attempts_while_full == [1] * len(names)
    assert len(resumed) == len(leaving)
    for attempt in resumed:
        assert (attempt.stream_id, attempt.resume_offset) == (kept.stream_id, 2)
        assert not attempt.only_if_interrupted


def test_stream_that_resumed_without_credit_is_not_paused(solo):
    """Guards against streams paused for a credit that none of them frees."""
    fill_engines(solo)
    kept = solo.find(StartAttempt)[0]
    handle = ContinuationHandle(kept.endpoint, kept.stream_id, 2).encode()
    solo.deliver(make_request('low', 'audit')._replace(handle=handle))
    (resumed,) = find_attempts(solo, 'low')
    solo.deliver(AttemptSent(resumed.attempt_id))
    solo.deliver(
        AttemptStarted(resumed.attempt_id, 200, 'text/event-stream', resumed.stream_id)
    )
    solo.deliver(AttemptChunk(resumed.attempt_id, 2, 1, b' more'))

    solo.deliver(make_request('urgent'))
    solo.run_for(1_000)

    assert not [
        cancel
        for cancel in solo.find(CancelAttempt)
        if cancel.attempt_id == resumed.attempt_id
    ]


def test_interrupted_stream_resumes_outside_the_subset_of_its_instance():
    """Guards against streams generated twice in pools larger than a subset."""
    engines = [make_engine(f'engine-{number}') for number in range(40)]
    host = Solo(contracts=[make_contract()], endpoints=engines)
    host.run_for(READY_MS)
    start = start_stream(host)
    subset = host.instance._parts.credits.candidates('small')
    other = next(
        name for name in map(itemgetter('endpoint'), engines) if name not in subset
    )

    (resumed,) = resume_interrupted(host, start, endpoint=other)

    assert resumed.endpoint == other


def test_suspect_of_crashes_is_not_resumed_without_credit(solo):
    """Guards against a request that crashes one engine after another."""
    starts = fill_engines(solo)
    kept = starts[0]
    crashed = next(each for each in starts if each.endpoint != kept.endpoint)
    solo.deliver(make_failure(crashed.attempt_id, crashed=True))

    attempts = resume_interrupted(solo, kept)

    assert not [each for each in attempts if each.only_if_interrupted]


@pytest.mark.parametrize('reason', ['draining', 'leaving', 'unknown', 'other pool'])
def test_stream_is_not_resumed_without_credit_at_an_unusable_endpoint(solo, reason):
    """Guards against new work at an endpoint that leaves or serves something else."""
    starts = fill_engines(solo)
    kept = starts[0]
    endpoint = kept.endpoint
    if reason == 'draining':
        call_operator(solo, 'endpoint-drain', endpoint=endpoint, why='repair')
    elif reason == 'leaving':
        solo.deliver(make_failure(starts[-1].attempt_id, refused=True, leaving=True))
        endpoint = starts[-1].endpoint
    elif reason == 'unknown':
        endpoint = 'engine-9'
    else:
        document = {**make_engine('large-1'), 'models': ['large']}
        solo.append_document('endpoint:large-1', document)
        solo.run_for(2_000)
        endpoint = 'large-1'

    attempts = resume_interrupted(solo, kept, endpoint=endpoint)

    assert endpoint not in [each.endpoint for each in attempts]


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
