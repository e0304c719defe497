"""Tests of the client library against scripted instances."""

from __future__ import annotations

import pytest
from client_rig import CHAT, Instance, answer, cut, drop, refuse, run

from savorychute.client import (
    CallError,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode


def test_refusal_that_says_not_run_is_tried_again_after_its_wait():
    code = ResultCode.OVERLOADED
    instance = Instance('i1', [refuse(code, retry_after_ms=10), answer])

    got = run(lambda client: client.complete(CHAT), instance)

    assert (got.body, len(instance.requests)) == (b'answer', 2)


def test_refusal_whose_wait_passes_the_deadline_is_raised_at_once():
    code = ResultCode.QUEUE_FULL
    instance = Instance('i1', [refuse(code, retry_after_ms=60_000)])

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(CHAT), instance)

    error = caught.value
    assert (error.code, error.ran, error.retry_after_ms) == (code, Ran.NOT_RUN, 60_000)
    assert len(instance.requests) == 1


def test_refusal_without_a_wait_is_final():
    instance = Instance('i1', [refuse(ResultCode.UNKNOWN_CLASS)])

    with pytest.raises(CallError, match='why'):
        run(lambda client: client.complete(CHAT), instance)

    assert len(instance.requests) == 1


def test_cut_answer_is_never_returned():
    """Answer breaks off.

    The instance dies in the middle of a document.  The half must not pass for
    the whole; the request is idempotent, so it is asked again elsewhere.
    """
    first, second = Instance('i1', [cut]), Instance('i2', [answer])

    assert run(lambda client: client.complete(CHAT), first, second).body == b'answer'


def test_cut_answers_without_end_raise():
    instance = Instance('i1', [cut])

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(CHAT), instance, max_failures=2)

    assert caught.value.ran is Ran.UNKNOWN
    assert len(instance.requests) == 3


def test_not_run_is_not_claimed_after_a_try_that_may_have_run():
    """Unknown, then refused.

    The first try is lost on the way, the second refused as not run.  Of the
    call as a whole 'not run' would be a lie.
    """
    script = [drop, refuse(ResultCode.UNKNOWN_CLASS)]
    instance = Instance('i1', script)

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(CHAT), instance)

    assert caught.value.ran is Ran.UNKNOWN


def test_silent_instance_ends_with_the_deadline():
    instance = Instance('i1', [id])
    call = CHAT._replace(timeout_ms=100)

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(call), instance)

    assert (caught.value.code, caught.value.ran) == (
        ResultCode.ANSWER_TIMEOUT,
        Ran.UNKNOWN,
    )
