"""Steps that the instance tests share."""

from __future__ import annotations

import msgspec

from savorychute.actions import (
    OperatorReply,
    StartAttempt,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptFailed,
    AttemptSent,
    AttemptStarted,
    OperatorCommand,
)
from savorychute.testing.solo import (
    OPERATOR_TOKEN,
    make_request,
)

READ_BACK_MS = 1_000


def start_stream(solo, request_id='r1', tokens=('Hello', ' there')):
    """Start a streamed request and deliver its first tokens."""
    solo.deliver(make_request(request_id))
    start = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(start.attempt_id))
    solo.deliver(
        AttemptStarted(start.attempt_id, 200, 'text/event-stream', start.stream_id)
    )
    for offset, text in enumerate(tokens):
        solo.deliver(AttemptChunk(start.attempt_id, offset, 1, text.encode()))
    return start


def make_failure(attempt_id, **flags):
    fields = {'sent': True, 'refused': False, 'leaving': False, 'crashed': False}
    return AttemptFailed(attempt_id, reason='test', **{**fields, **flags})


def call_operator(solo, verb, token=OPERATOR_TOKEN, **arguments):
    body = msgspec.json.encode(arguments)
    solo.deliver(OperatorCommand('c1', token, verb, body))
    solo.run_for(READ_BACK_MS)
    reply = solo.find(OperatorReply)[-1]
    return reply.code, msgspec.json.decode(reply.document)
