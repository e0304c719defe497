"""Tests of operator commands at an instance."""

from __future__ import annotations

import pytest
from instance_steps import call_operator, start_stream

from savorychute.inputs import (
    AttemptEnded,
)
from savorychute.result_code import ResultCode
from savorychute.testing.solo import (
    OPERATOR_TOKEN,
)


def test_explain_returns_the_states_of_a_request(solo):
    start = start_stream(solo)
    solo.deliver(AttemptEnded(start.attempt_id, 2))

    code, explanation = call_operator(solo, 'explain', request_id='r1')

    assert code is ResultCode.OK
    states = [event['after'] for event in explanation['history']]
    assert states == [
        'queued',
        'granted',
        'sending',
        'running',
        'streaming',
        'answered',
    ]


@pytest.mark.parametrize(
    ('verb', 'token', 'code'),
    [
        ('status', 'wrong', ResultCode.UNAUTHENTICATED),
        ('status', 'token-acme', ResultCode.UNAUTHENTICATED),
        ('reboot', OPERATOR_TOKEN, ResultCode.NOT_FOUND),
        ('explain', OPERATOR_TOKEN, ResultCode.BAD_FIELD),
        ('status', OPERATOR_TOKEN, ResultCode.OK),
        ('instance-list', OPERATOR_TOKEN, ResultCode.OK),
        ('endpoint-list', OPERATOR_TOKEN, ResultCode.OK),
    ],
)
def test_operator_commands_are_checked(solo, verb, token, code):
    assert call_operator(solo, verb, token=token)[0] is code
