"""Tests of requests that crash endpoints, at a whole instance."""

from __future__ import annotations

import msgspec
import pytest
from instance_steps import make_failure

from savorychute.actions import RefuseRequest, StartAttempt
from savorychute.inputs import AttemptSent
from savorychute.result_code import ResultCode
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request


@pytest.fixture
def solo():
    names = ('engine-1', 'engine-2', 'engine-3')
    driven = Solo([make_contract()], [make_engine(name) for name in names])
    driven.run_for(5_000)
    return driven


def crash_last(solo):
    attempt_id = solo.find(StartAttempt)[-1].attempt_id
    solo.deliver(AttemptSent(attempt_id))
    solo.deliver(make_failure(attempt_id, crashed=True))
    solo.run_for(3_000)


def test_copy_that_brings_its_text_is_still_quarantined(solo):
    """Endpoint after endpoint would crash.

    A request crashes two endpoints after a token each time.  Its caller sends
    it again with the text that it has, so the body is another one.
    """
    solo.deliver(make_request('r1'))
    crash_last(solo)
    crash_last(solo)
    assert solo.find(RefuseRequest)[-1].code is ResultCode.QUARANTINED
    started = len(solo.find(StartAttempt))

    document = msgspec.json.decode(make_request('r2').body)
    document['continue_from'] = {'offset': 1, 'text': 'Hello'}
    body = msgspec.json.encode(document)
    solo.deliver(make_request('r2')._replace(body=body))
    solo.run_for(3_000)

    assert solo.find(RefuseRequest)[-1].code is ResultCode.QUARANTINED
    assert len(solo.find(StartAttempt)) == started
