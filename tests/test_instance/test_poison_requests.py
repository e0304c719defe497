"""Tests of requests that crash endpoints, at a complete instance."""

from __future__ import annotations

import msgspec
import pytest
from instance_steps import make_failure

from savorychute.actions import RefuseRequest, StartAttempt
from savorychute.inputs import AttemptSent, CallerLeft
from savorychute.result_code import ResultCode
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request


@pytest.fixture
def solo():
    names = ('engine-1', 'engine-2', 'engine-3')
    host = Solo([make_contract()], [make_engine(name) for name in names])
    host.run_for(5_000)
    return host


def crash_last(solo):
    attempt_id = solo.find(StartAttempt)[-1].attempt_id
    solo.deliver(AttemptSent(attempt_id))
    solo.deliver(make_failure(attempt_id, crashed=True))
    solo.run_for(3_000)


def test_retry_with_the_received_text_is_still_quarantined(solo):
    """Guards against a request that crashes one endpoint after another.

    A request crashes two endpoints, each after one token.  Its caller retries
    with the text that it has received, so the body differs.
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


def test_requests_with_a_common_prefix_are_quarantined(solo):
    """Guards against prompts, no two alike, that crash one endpoint after another."""
    solo.run_for(11_000)
    for number in range(3):
        body = b'{"model":"small","messages":[{"role":"user","content":"%d"}]}' % number
        request = make_request(f'r{number}')._replace(body=body)
        solo.deliver(request._replace(prefix_hashes=(1, 2, 100 + number)))
        crash_last(solo)
        solo.deliver(CallerLeft(f'r{number}'))
        solo.run_for(3_000)
    solo.deliver(make_request('r9')._replace(prefix_hashes=(1, 2, 999)))
    solo.run_for(1_000)
    assert solo.find(RefuseRequest)[-1].request_id == 'r9'
    assert solo.find(RefuseRequest)[-1].code is ResultCode.QUARANTINED
