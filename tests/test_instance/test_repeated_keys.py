"""Tests of further requests with the same key at one instance."""

from __future__ import annotations

import pytest

from savorychute.actions import (
    FinishResponse,
    RefuseRequest,
    SendChunk,
    StartAttempt,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptSent,
    AttemptStarted,
    CallerLeft,
)
from savorychute.ran import Ran
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request


@pytest.fixture
def solo():
    host = Solo(
        contracts=[make_contract()],
        endpoints=[make_engine('engine-1'), make_engine('engine-2')],
    )
    host.run_for(5_000)
    host.actions.clear()
    return host


def make_keyed_request(request_id, key, **changes):
    return make_request(request_id, 'booking')._replace(key=key, **changes)


def start_request(solo, key, **changes):
    solo.deliver(make_keyed_request('r1', key, **changes))
    first = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(first.attempt_id))
    return first


def test_expired_duplicate_is_not_reported_as_not_run(solo):
    """Guards against a caller that sends a completed booking again.

    The first caller with a key leaves while its request runs.  A second caller
    with the same key waits for the outcome until its own deadline.  The request
    may have run by then.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    start_request(solo, key)
    solo.deliver(CallerLeft('r1'))
    solo.run_for(1000)
    solo.deliver(make_keyed_request('r2', key))
    solo.run_for(600_000)
    refusals = [r for r in solo.find(RefuseRequest) if r.request_id == 'r2']
    assert refusals
    assert all(refusal.ran is not Ran.NOT_RUN for refusal in refusals)


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('size', [10, 300_000])
def test_replay_is_complete_or_refused(solo, stream, size):
    """Guards against an empty response to a repeated key.

    The first response was passed on while it arrived, so the buffer was empty
    at its end.  The stored body must be the complete response or nothing.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    first = start_request(solo, key, stream=stream)
    solo.deliver(AttemptStarted(first.attempt_id, 200, 'text/plain', first.stream_id))
    solo.deliver(AttemptChunk(first.attempt_id, 0, 1, b'x' * size))
    solo.deliver(AttemptEnded(first.attempt_id, 1))
    solo.actions.clear()
    solo.deliver(make_keyed_request('r2', key, stream=stream))
    ended = [a for a in solo.find(FinishResponse) if a.request_id == 'r2']
    data = b''.join(c.data for c in solo.find(SendChunk) if c.request_id == 'r2')
    if ended:
        assert len(data) == size
    else:
        assert solo.find(RefuseRequest)[0].ran is Ran.RAN


def test_quarantined_duplicate_is_not_reported_as_not_run(solo):
    """Guards against a caller that sends a possibly completed booking again.

    A duplicate waits for the outcome of the first request and is ended because
    the request is quarantined in the meantime.  The first one may have run.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    start_request(solo, key)
    solo.deliver(make_keyed_request('r2', key))
    solo.instance._parts.quarantine.is_quarantined = lambda *_: True
    solo.run_for(1_000)
    refusals = [r for r in solo.find(RefuseRequest) if r.request_id == 'r2']
    assert refusals
    assert all(r.ran is not Ran.NOT_RUN for r in refusals)
