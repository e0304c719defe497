"""Tests of the client library with scripted instances."""

from __future__ import annotations

import pytest
from client_fixture import CHAT, FakeInstance, abort, refuse, respond, run, truncate

from savorychute.client import (
    CallError,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode


def test_request_refused_as_not_run_is_retried_after_the_stated_delay():
    code = ResultCode.OVERLOADED
    instance = FakeInstance('i1', [refuse(code, retry_after_ms=10), respond])

    response = run(lambda client: client.complete(CHAT), instance)

    assert (response.body, len(instance.requests)) == (b'answer', 2)


def test_refusal_with_a_delay_beyond_the_deadline_is_raised_at_once():
    code = ResultCode.QUEUE_FULL
    instance = FakeInstance('i1', [refuse(code, retry_after_ms=60_000)])

    with pytest.raises(CallError) as raised:
        run(lambda client: client.complete(CHAT), instance)

    error = raised.value
    assert (error.code, error.ran, error.retry_after_ms) == (code, Ran.NOT_RUN, 60_000)
    assert len(instance.requests) == 1


def test_refusal_without_a_retry_delay_is_final():
    instance = FakeInstance('i1', [refuse(ResultCode.UNKNOWN_CLASS)])

    with pytest.raises(CallError, match='why'):
        run(lambda client: client.complete(CHAT), instance)

    assert len(instance.requests) == 1


def test_truncated_response_is_never_returned():
    """Guard against a truncated document that looks complete.

    The instance crashes in the middle of a document.  The request is idempotent, so
    it is retried at another instance.
    """
    first, second = FakeInstance('i1', [truncate]), FakeInstance('i2', [respond])

    assert run(lambda client: client.complete(CHAT), first, second).body == b'answer'


def test_call_fails_after_too_many_truncated_responses():
    instance = FakeInstance('i1', [truncate])

    with pytest.raises(CallError) as raised:
        run(lambda client: client.complete(CHAT), instance, max_failures=2)

    assert raised.value.ran is Ran.UNKNOWN
    assert len(instance.requests) == 3


def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run():
    """Guard against a false 'not run' for a call with several attempts.

    The outcome of the first attempt is unknown, and the second attempt is refused as
    not run.  For the call as a whole, 'not run' would be false.
    """
    script = [abort, refuse(ResultCode.UNKNOWN_CLASS)]
    instance = FakeInstance('i1', script)

    with pytest.raises(CallError) as raised:
        run(lambda client: client.complete(CHAT), instance)

    assert raised.value.ran is Ran.UNKNOWN


def test_call_to_an_unresponsive_instance_ends_at_the_deadline():
    instance = FakeInstance('i1', [id])
    call = CHAT._replace(timeout_ms=100)

    with pytest.raises(CallError) as raised:
        run(lambda client: client.complete(call), instance)

    assert (raised.value.code, raised.value.ran) == (
        ResultCode.ANSWER_TIMEOUT,
        Ran.UNKNOWN,
    )
