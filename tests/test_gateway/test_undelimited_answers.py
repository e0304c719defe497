"""Tests of responses that have neither a length nor chunks, and end with a connection."""

from __future__ import annotations

import pytest
from gateway_fakes import STREAM, SUCCESS, make_prompt, make_request

from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.requests.attempt import SURVIVAL_MS
from savorychute.gateway.requests.intake import find_traits


def event(number):
    return f'id: {number}\ndata: x\n\n'.encode()


OPEN_STREAM = STREAM._replace(is_delimited=False)
OPEN_ANSWER = SUCCESS._replace(is_delimited=False)
RESUMABLE, CUT_OFF, IDEMPOTENT, ONCE = (
    '/diagnosis/1',
    '/draft/1',
    '/visit/1',
    '/parts/1',
)
EVENTS = event(1) + event(2)


def end_in_order(attempt, head, body):
    attempt.respond(head, body)


def end_by_reset(attempt, head, body):
    attempt.start_response(head, body)
    attempt.break_connection()


def start(gateway, path):
    fields = {'method': 'POST', 'body': b'x'} if path == ONCE else {}
    if path in (RESUMABLE, CUT_OFF):
        fields['prompt'] = make_prompt()
    return gateway.start(path, **fields)


# What the caller has after the first attempt ended; another one has begun if it waits.
@pytest.mark.parametrize(
    ('path', 'head', 'body', 'end', 'state'),
    [
        (RESUMABLE, OPEN_STREAM, EVENTS, end_in_order, 'whole'),
        (RESUMABLE, OPEN_STREAM, event(1) + b'id: 2\n', end_in_order, 'begun'),
        (RESUMABLE, OPEN_STREAM, b'id: 1\n', end_in_order, 'waiting'),
        (RESUMABLE, OPEN_STREAM, b'', end_in_order, 'waiting'),
        (RESUMABLE, OPEN_STREAM, EVENTS, end_by_reset, 'begun'),
        (RESUMABLE, OPEN_STREAM, b'', end_by_reset, 'waiting'),
        (CUT_OFF, OPEN_STREAM, EVENTS, end_in_order, 'whole'),
        (CUT_OFF, OPEN_STREAM, event(1) + b'id: 2\n', end_in_order, 'cut'),
        (CUT_OFF, OPEN_STREAM, b'', end_in_order, 'refused'),
        (CUT_OFF, OPEN_STREAM, EVENTS, end_by_reset, 'cut'),
        (CUT_OFF, OPEN_STREAM, b'', end_by_reset, 'refused'),
        (IDEMPOTENT, OPEN_ANSWER, b'done', end_in_order, 'whole'),
        (IDEMPOTENT, OPEN_ANSWER, b'', end_in_order, 'waiting'),
        (IDEMPOTENT, OPEN_ANSWER, b'do', end_by_reset, 'waiting'),
        (IDEMPOTENT, OPEN_ANSWER, b'', end_by_reset, 'waiting'),
        (ONCE, OPEN_ANSWER, b'done', end_in_order, 'whole'),
        (ONCE, OPEN_ANSWER, b'', end_in_order, 'refused'),
        (ONCE, OPEN_ANSWER, b'do', end_by_reset, 'refused'),
        (ONCE, OPEN_ANSWER, b'', end_by_reset, 'refused'),
    ],
)
def test_response_that_was_broken_off_is_not_taken_for_a_whole_one(
    gateway, path, head, body, end, state
):
    """Guards against a crash that looks like the end of a response."""
    _, caller = start(gateway, path)
    end(gateway.last_attempt, head, body)
    assert caller.state == state
    assert len(gateway.attempts.sent) == (2 if state in ('waiting', 'begun') else 1)


@pytest.mark.parametrize('body', [EVENTS, event(1) + b'id: 2\n', b''])
@pytest.mark.parametrize('end', [end_in_order, end_by_reset])
def test_end_of_connection_counts_as_a_crash_if_the_endpoint_is_gone(
    gateway, body, end
):
    """Guards against crashes that are not counted where nothing delimits responses."""
    for _ in range(3):
        start(gateway, CUT_OFF)
        attempt = gateway.last_attempt
        end(attempt, OPEN_STREAM, body)
        gateway.attempts.unreachable[attempt.endpoint]()
        gateway.parts.roster.record_end(EndpointRun(attempt.endpoint))
        gateway.advance(200)
    assert gateway.admit(CUT_OFF, prompt=make_prompt()).reason == 'crashed-endpoints'


def test_end_in_order_does_not_count_as_a_crash_if_the_endpoint_is_reachable(gateway):
    """Guards against suspects where all endpoints are well."""
    for _ in range(5):
        start(gateway, CUT_OFF)
        gateway.last_attempt.respond(OPEN_STREAM, EVENTS)
        gateway.advance(200)
    traits = find_traits(make_request(CUT_OFF, prompt=make_prompt()), 'kochi')
    decision = gateway.parts.crashes.decide('pool', traits, gateway.clock.now_ms())
    assert decision.kind is CrashDecisionKind.FREE


def test_short_response_without_delimiter_clears_nothing(gateway):
    """Guards against a crash that clears the part that caused it."""
    accuse(gateway)
    gateway.last_attempt.respond(OPEN_STREAM, EVENTS)
    assert is_accused(gateway)


def test_events_over_some_time_clear_what_a_crash_accused(gateway):
    """Guards against suspects that nothing clears where nothing delimits responses."""
    accuse(gateway)
    gateway.last_attempt.start_response(OPEN_STREAM, event(1))
    gateway.advance(SURVIVAL_MS)
    gateway.last_attempt.listener.response_data(event(2))
    assert not is_accused(gateway)


def accuse(gateway):
    """Lose a request with an endpoint, and start one with the same part."""
    start(gateway, CUT_OFF)
    gateway.last_attempt.mark_sent()
    gateway.last_attempt.break_connection()
    gateway.parts.roster.record_end(EndpointRun(gateway.last_attempt.endpoint))
    gateway.advance(200)
    start(gateway, CUT_OFF)


def is_accused(gateway):
    request = make_request(CUT_OFF, prompt=make_prompt())
    part = find_traits(request, 'kochi').parts[0]
    return gateway.parts.crashes.judge.evidence('pool').is_accused(part)
