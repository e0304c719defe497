"""Tests of the statuses by which a caller learns that its request did not run."""

from __future__ import annotations

import pytest
from gateway_fakes import (
    PROOF,
    REJECTION,
    STREAM,
    SUCCESS,
    FakeCaller,
    make_gateway,
    make_prompt,
)

from savorychute.gateway.requests.attempt import MAX_BUFFERED_BYTES
from savorychute.gateway.requests.caller_guard import CallerGuard
from savorychute.gateway.requests.endpoint_response import (
    EndpointResponse,
    ResponseKind,
)
from savorychute.gateway.requests.refusal import Refusal
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

PROMISES = (408, 421, 429, 503)
LARGE_BYTES = MAX_BUFFERED_BYTES + 1
EVENT = b'id: 1\ndata: x\n\n'


def make_head(status, headers=PROOF):
    return EndpointResponse(ResponseKind.FAILURE, status, headers, is_stream=False)


def is_promised(caller):
    return caller.status in PROMISES or (
        caller.refusal is not None and caller.refusal.ran is Ran.NOT_RUN
    )


@pytest.mark.parametrize('headers', [PROOF, ()], ids=['proven', 'bare'])
@pytest.mark.parametrize('body_bytes', [0, 10, LARGE_BYTES])
@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', ['/parts/1', '/draft/1'])
def test_status_of_an_endpoint_that_ran_the_request_promises_nothing(
    path, status, body_bytes, headers
):
    """Guards against callers that send a request again after it has run."""
    gateway = make_gateway()
    _, caller = gateway.start(path, prompt=make_prompt())
    gateway.last_attempt.respond(make_head(status, headers), b'x' * body_bytes)

    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN
    assert caller.refusal.ran is Ran.UNKNOWN
    assert caller.body == b''


@pytest.mark.parametrize('body_bytes', [0, LARGE_BYTES])
@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', ['/visit/1', '/diagnosis/1'])
def test_status_that_promises_nothing_is_retried(path, status, body_bytes):
    """Guards against promises after several endpoints ran a repeatable request."""
    gateway = make_gateway()
    _, caller = gateway.start(path, prompt=make_prompt())
    gateway.last_attempt.respond(make_head(status), b'x' * body_bytes)
    assert len(gateway.attempts.sent) == 2
    gateway.last_attempt.respond(make_head(status), b'x' * body_bytes)

    assert len(gateway.attempts.sent) == 2
    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize('status', PROMISES)
def test_retry_after_a_status_that_promises_nothing_is_used(status):
    """Guards against requests lost to a status that another endpoint would not send."""
    gateway = make_gateway()
    _, caller = gateway.start('/visit/1')
    gateway.last_attempt.respond(make_head(status))
    gateway.last_attempt.respond(SUCCESS, b'visit 1')

    assert (caller.status, caller.body) == (200, b'visit 1')


@pytest.mark.parametrize('status', PROMISES)
def test_status_within_a_stream_cuts_it(status):
    """Guards against a status that is added to events of another endpoint."""
    gateway = make_gateway()
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, EVENT)
    gateway.last_attempt.break_connection()
    gateway.last_attempt.respond(make_head(status), b'x' * LARGE_BYTES)

    assert (caller.body, caller.state) == (EVENT, 'cut')


@pytest.mark.parametrize('first', ['reset', *PROMISES])
def test_rejection_after_a_possible_execution_is_no_promise(first):
    """Guards against a true refusal that hides an earlier execution."""
    gateway = make_gateway()
    _, caller = gateway.start('/visit/1')
    if first == 'reset':
        gateway.last_attempt.mark_sent()
        gateway.last_attempt.break_connection()
    else:
        gateway.last_attempt.respond(make_head(first))
    while gateway.last_attempt.listener.response is None:
        gateway.last_attempt.respond(REJECTION)

    assert len(gateway.attempts.sent) > 1
    assert not is_promised(caller)
    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize('body_bytes', [10, LARGE_BYTES])
@pytest.mark.parametrize('status', [400, 404, 500, 502, 504])
def test_other_failures_reach_their_caller_unchanged(status, body_bytes):
    """Guards against failures of endpoints that callers no longer see."""
    gateway = make_gateway()
    _, caller = gateway.start('/parts/1', method='POST', body=b'impeller')
    gateway.last_attempt.respond(make_head(status), b'x' * body_bytes)

    assert (caller.status, caller.state) == (status, 'whole')
    assert caller.body == b'x' * body_bytes


def test_true_rejection_of_the_only_attempt_is_a_promise():
    """Guards against refusals that callers do not repeat although nothing ran."""
    gateway = make_gateway(desks=1)
    _, caller = gateway.start('/parts/1', method='POST', body=b'impeller')
    gateway.last_attempt.respond(REJECTION)

    assert caller.refusal.code is ResultCode.NO_ENDPOINT
    assert caller.refusal.ran is Ran.NOT_RUN


class CountedRequest:
    """A request that has counted the attempts of its own that may have run."""

    def __init__(self, possible_executions=0):
        self.possible_executions = possible_executions


class KnownAttempt:
    """An attempt in one state."""

    def __init__(self, *, sent, is_rejected=False):
        self.sent = sent
        self.is_rejected = is_rejected


NOT_RUN = Refusal(ResultCode.OVERLOADED, Ran.NOT_RUN, 'overload', 300)


@pytest.mark.parametrize('status', PROMISES)
def test_head_of_an_endpoint_cannot_be_a_promise(status):
    """Guards against a part of the gateway that forwards what it should not."""
    caller = FakeCaller()
    guard = CallerGuard(caller, CountedRequest())
    guard.start(status, PROOF)
    guard.send(b'x')
    guard.finish()
    guard.abort()

    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN
    assert (caller.body, caller.state) == (b'', 'refused')


@pytest.mark.parametrize(
    ('counted', 'attempts', 'code'),
    [
        (0, [], ResultCode.OVERLOADED),
        (0, [KnownAttempt(sent=False)], ResultCode.OVERLOADED),
        (0, [KnownAttempt(sent=True, is_rejected=True)], ResultCode.OVERLOADED),
        (1, [], ResultCode.OUTCOME_UNKNOWN),
        (0, [KnownAttempt(sent=True)], ResultCode.OUTCOME_UNKNOWN),
        (
            0,
            [KnownAttempt(sent=True), KnownAttempt(sent=True, is_rejected=True)],
            ResultCode.OUTCOME_UNKNOWN,
        ),
        (
            0,
            [KnownAttempt(sent=True), KnownAttempt(sent=False)],
            ResultCode.OUTCOME_UNKNOWN,
        ),
    ],
)
def test_refusal_promises_only_what_all_attempts_allow(counted, attempts, code):
    """Guards against refusals after an attempt that nobody counted."""
    caller = FakeCaller()
    guard = CallerGuard(caller, CountedRequest(counted))
    for attempt in attempts:
        guard.watch(attempt)

    assert guard.refuse(NOT_RUN, ResultCode.OUTCOME_UNKNOWN) == code.status
    assert caller.refusal.code is code
    assert (caller.refusal.ran is Ran.NOT_RUN) == (code is NOT_RUN.code)


@pytest.mark.parametrize('path', ['/parts/1', '/visit/1', '/draft/1'])
def test_request_that_was_not_sent_before_its_endpoint_ended_is_sent_elsewhere(path):
    """Guards against unknown outcomes of requests that no endpoint has received."""
    gateway = make_gateway()
    execution, caller = gateway.start(path, method='POST', body=b'impeller')
    gateway.last_attempt.listener.endpoint_run_ended()

    assert len(gateway.attempts.sent) == 2
    assert gateway.attempts.sent[0].cancelled
    assert execution.possible_executions == 0
    gateway.last_attempt.respond(SUCCESS, b'x')
    assert caller.status == 200


def test_request_that_was_sent_before_its_endpoint_ended_may_have_run():
    """Guards against a second execution after the restart of an endpoint."""
    gateway = make_gateway()
    _, caller = gateway.start('/parts/1', method='POST', body=b'impeller')
    gateway.last_attempt.mark_sent()
    gateway.last_attempt.listener.endpoint_run_ended()

    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN
