"""Tests of requests that must run at most once."""

from __future__ import annotations

import pytest
from client_fixture import (
    SERVICE_CALL,
    FakeInstance,
    abort,
    redirect_to,
    refuse,
    respond,
    run,
)

from savorychute.client import (
    CallError,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode


def test_non_idempotent_request_keeps_its_key_when_it_is_retried():
    """Guard against a second run after a lost response.

    The response to a request that must run only once is lost.  If it is sent again
    under the same key, the system knows that it ran; under a new key it would run
    twice.
    """
    first, second = FakeInstance('i1', [abort, respond]), FakeInstance('i2', [respond])

    run(lambda client: client.call_service(SERVICE_CALL), first, second)

    requests = first.requests + second.requests
    keys = [request.header('x-request-key') for request in requests]
    assert (keys, first.keys + second.keys) == (['i1-1', 'i1-1'], 1)


def test_redirect_under_a_key_does_not_state_not_run():
    """Guard against a false 'not run' when the key's issuer has crashed.

    The instance that ran the request crashes, and the others keep redirecting its
    caller there.  Their 'not run' is true for the redirected attempt, but not for
    the request.
    """
    first, second = FakeInstance('i1', [abort]), FakeInstance('i2', [])
    second.script = [redirect_to(first)]

    with pytest.raises(CallError) as raised:
        run(lambda client: client.call_service(SERVICE_CALL), first, second)

    assert raised.value.ran is Ran.UNKNOWN


def test_refusal_decided_without_the_key_is_no_outcome():
    code = ResultCode.SLOW_CALLER
    instance = FakeInstance(
        'i1', [refuse(code, Ran.UNKNOWN, retry_after_ms=1), respond]
    )

    run(lambda client: client.call_service(SERVICE_CALL), instance)

    keys = [request.header('x-request-key') for request in instance.requests]
    assert keys == ['i1-1', 'i1-1']


def test_unknown_outcome_under_a_key_is_final():
    code = ResultCode.OUTCOME_UNKNOWN
    instance = FakeInstance('i1', [refuse(code, Ran.UNKNOWN, retry_after_ms=1)])

    with pytest.raises(CallError) as raised:
        run(lambda client: client.call_service(SERVICE_CALL), instance)

    assert (raised.value.code, raised.value.ran) == (code, Ran.UNKNOWN)
    assert len(instance.requests) == 1


@pytest.mark.parametrize(
    'code', [ResultCode.KEY_REVOKED, ResultCode.WITNESS_UNAVAILABLE]
)
def test_unusable_key_is_replaced(code):
    instance = FakeInstance('i1', [refuse(code), respond])

    run(lambda client: client.call_service(SERVICE_CALL), instance)

    keys = [request.header('x-request-key') for request in instance.requests]
    assert keys == ['i1-1', 'i1-2']
