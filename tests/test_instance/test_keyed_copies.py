"""Copies of keyed requests at one instance."""

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
    driven = Solo(
        contracts=[make_contract()],
        endpoints=[make_engine('engine-1'), make_engine('engine-2')],
    )
    driven.run_for(5_000)
    driven.actions.clear()
    return driven


def keyed(request_id, key, **changes):
    return make_request(request_id, 'booking')._replace(key=key, **changes)


def start(solo, key, **changes):
    solo.deliver(keyed('r1', key, **changes))
    first = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(first.attempt_id))
    return first


def test_copy_past_its_deadline_is_not_called_not_run(solo):
    """A caller would make a booking again that was made already.

    The first caller under a key leaves while its request runs.  A second one
    with the same key waits for the outcome until its own deadline; the run it
    waits for may well have happened.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    start(solo, key)
    solo.deliver(CallerLeft('r1'))
    solo.run_for(1000)
    solo.deliver(keyed('r2', key))
    solo.run_for(600_000)
    refusals = [r for r in solo.find(RefuseRequest) if r.request_id == 'r2']
    assert refusals
    assert all(refusal.ran is not Ran.NOT_RUN for refusal in refusals)


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('size', [10, 300_000])
def test_replay_is_whole_or_refused(solo, stream, size):
    """A caller who asks again under its key would get an empty answer.

    The first answer was passed on as it came, so nothing of it was left in
    the buffer when it ended; what is kept must be the whole answer or nothing.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    first = start(solo, key, stream=stream)
    solo.deliver(AttemptStarted(first.attempt_id, 200, 'text/plain', first.stream_id))
    solo.deliver(AttemptChunk(first.attempt_id, 0, 1, b'x' * size))
    solo.deliver(AttemptEnded(first.attempt_id, 1))
    solo.actions.clear()
    solo.deliver(keyed('r2', key, stream=stream))
    ended = [a for a in solo.find(FinishResponse) if a.request_id == 'r2']
    data = b''.join(c.data for c in solo.find(SendChunk) if c.request_id == 'r2')
    if ended:
        assert len(data) == size
    else:
        assert solo.find(RefuseRequest)[0].ran is Ran.RAN


def test_quarantined_copy_is_not_called_not_run(solo):
    """A caller would make a booking again that may have been made.

    A copy waits for the first one's outcome and is ended because the request
    is quarantined meanwhile; the first one may have run.
    """
    key = solo.instance.issue_key('token-acme', solo.now_ms)
    start(solo, key)
    solo.deliver(keyed('r2', key))
    solo.instance._parts.quarantine.is_quarantined = lambda *_: True
    solo.run_for(1_000)
    refusals = [r for r in solo.find(RefuseRequest) if r.request_id == 'r2']
    assert refusals
    assert all(r.ran is not Ran.NOT_RUN for r in refusals)
