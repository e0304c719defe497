"""Tests of requests that may run only once."""

from __future__ import annotations

import pytest
from client_rig import VISIT, Instance, answer, drop, redirect_to, refuse, run

from savorychute.client import (
    CallError,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode


def test_non_idempotent_request_keeps_its_key_over_tries():
    """Visit log and a lost reply.

    The reply to a visit log is lost.  Sent again under the same key, the
    system can tell that it ran; under a new key it would run twice.
    """
    first, second = Instance('i1', [drop, answer]), Instance('i2', [answer])

    run(lambda client: client.call_service(VISIT), first, second)

    requests = first.requests + second.requests
    keys = [request.header('x-request-key') for request in requests]
    assert (keys, first.keys + second.keys) == (['i1-1', 'i1-1'], 1)


def test_redirect_under_a_key_does_not_say_not_run():
    """Redirects to a dead issuer.

    The instance that ran a visit dies; the others go on sending its caller
    there.  They say 'not run' of their own try; of the visit it is not true.
    """
    first, second = Instance('i1', [drop]), Instance('i2', [])
    second.script = [redirect_to(first)]

    with pytest.raises(CallError) as caught:
        run(lambda client: client.call_service(VISIT), first, second)

    assert caught.value.ran is Ran.UNKNOWN


def test_blind_refusal_under_a_key_is_no_outcome():
    code = ResultCode.SLOW_CALLER
    instance = Instance('i1', [refuse(code, Ran.UNKNOWN, retry_after_ms=1), answer])

    run(lambda client: client.call_service(VISIT), instance)

    keys = [request.header('x-request-key') for request in instance.requests]
    assert keys == ['i1-1', 'i1-1']


def test_unknown_outcome_under_a_key_is_final():
    code = ResultCode.OUTCOME_UNKNOWN
    instance = Instance('i1', [refuse(code, Ran.UNKNOWN, retry_after_ms=1)])

    with pytest.raises(CallError) as caught:
        run(lambda client: client.call_service(VISIT), instance)

    assert (caught.value.code, caught.value.ran) == (code, Ran.UNKNOWN)
    assert len(instance.requests) == 1


@pytest.mark.parametrize(
    'code', [ResultCode.KEY_REVOKED, ResultCode.WITNESS_UNAVAILABLE]
)
def test_key_that_will_not_run_is_replaced(code):
    instance = Instance('i1', [refuse(code), answer])

    run(lambda client: client.call_service(VISIT), instance)

    keys = [request.header('x-request-key') for request in instance.requests]
    assert keys == ['i1-1', 'i1-2']
