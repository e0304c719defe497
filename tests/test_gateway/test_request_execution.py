"""Tests of the execution of a request when its endpoints fail."""

from __future__ import annotations

import pytest
from gateway_fakes import (
    FAILURE,
    FOREIGN,
    MISDIRECTED,
    REJECTION,
    STREAM,
    SUCCESS,
    make_gateway,
    make_prompt,
)

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.requests.attempt import MAX_BUFFERED_BYTES
from savorychute.http.event_buffer import MAX_EVENT_BYTES
from savorychute.ran import Ran
from savorychute.result_code import ResultCode


def event(number):
    return f'id: {number}\ndata: x\n\n'.encode()


def test_response_reaches_its_caller_unchanged(gateway):
    _, caller = gateway.start()

    gateway.last_attempt.respond(SUCCESS, b'visit 7')

    assert (caller.status, caller.body, caller.state) == (200, b'visit 7', 'whole')
    assert all(record.outstanding == 0 for record in gateway.parts.roster)


def test_non_idempotent_request_is_not_retried_after_a_reset(gateway):
    """Guards against executing a non-idempotent request twice.

    A technician books a spare part; the endpoint books it, and the connection is reset
    before the response.  Another attempt would book it twice, and after a 503 the
    technician would send the request again.
    """
    _, caller = gateway.start('/parts/1', method='POST', body=b'impeller')
    gateway.last_attempt.mark_sent()

    gateway.last_attempt.break_connection()

    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN
    assert caller.refusal.ran is Ran.UNKNOWN


def test_non_idempotent_request_uses_a_new_connection(gateway):
    """Guards against a kept-alive connection that is closed when it is reused.

    If the endpoint closes an idle connection while the request is in transit, it is
    unknown whether the request ran.
    """
    gateway.start('/parts/1', method='POST')
    assert gateway.last_attempt.attempt.fresh

    gateway.start('/visit/1')
    assert not gateway.last_attempt.attempt.fresh


@pytest.mark.parametrize('response', [REJECTION, MISDIRECTED])
def test_non_idempotent_request_is_retried_if_it_certainly_did_not_run(
    gateway, response
):
    _, caller = gateway.start('/parts/1', method='POST')

    gateway.last_attempt.respond(response)
    assert len(gateway.attempts.sent) == 2
    assert gateway.attempts.sent[0].endpoint != gateway.attempts.sent[1].endpoint
    gateway.last_attempt.respond(SUCCESS, b'booked')

    assert (caller.status, caller.body) == (200, b'booked')


def test_request_that_every_endpoint_rejects_is_reported_as_not_run(gateway):
    """Guards against a refusal that leaves the outcome open.

    All endpoints reject the request because they are full, and none of them ran it.  The
    caller must receive 'not run' and a retry delay.
    """
    _, caller = gateway.start('/parts/1', method='POST')
    for _ in range(3):
        gateway.last_attempt.respond(REJECTION)

    assert caller.refusal.code is ResultCode.NO_ENDPOINT
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms > 0


def test_not_run_is_not_reported_if_one_attempt_may_have_run(gateway):
    """Guards against a false 'not run'.

    The connection to the first endpoint is lost, and the others are full.  Those did not
    run the request, but the first one may have.
    """
    _, caller = gateway.start('/visit/1')
    gateway.last_attempt.mark_sent()
    gateway.last_attempt.break_connection()
    for _ in range(2):
        gateway.last_attempt.respond(REJECTION)

    assert caller.state == 'refused'
    assert caller.refusal.ran is Ran.UNKNOWN


def test_address_taken_over_by_another_endpoint_is_not_used_again(gateway):
    """Guards against repeated calls to a reassigned address.

    An endpoint ended and its address was reassigned to another service, whose endpoint
    rejects requests meant for the first.  The old entry is still listed for 1 s.
    """
    gateway.start('/visit/1')
    ended = gateway.last_attempt.endpoint
    gateway.last_attempt.respond(MISDIRECTED)

    for _ in range(20):
        gateway.start('/visit/1')

    assert ended not in {each.endpoint for each in gateway.attempts.sent[1:]}


def test_idempotent_request_is_retried_up_to_its_limit(gateway):
    _, caller = gateway.start('/visit/1')
    gateway.last_attempt.respond(FAILURE, b'failed')
    gateway.last_attempt.respond(FAILURE, b'failed too')

    assert len(gateway.attempts.sent) == 2
    assert (caller.status, caller.body) == (500, b'failed too')


def test_retries_stop_when_the_allowance_is_used_up():
    """Guards against a retry storm.

    Every endpoint of a service loses its connections.  If each request were retried,
    recovering endpoints would receive twice their load.
    """
    gateway = make_gateway(slack=10)
    for _ in range(100):
        gateway.start('/visit/1')
        gateway.last_attempt.mark_sent()
        gateway.last_attempt.break_connection()

    retries = len(gateway.attempts.sent) - 100
    assert retries <= 0.2 * 100 + 10


def test_unresponsive_endpoint_is_abandoned_in_time_for_the_objective(gateway):
    """Guards against waiting too long for an unresponsive endpoint.

    It accepts the request and sends nothing, not even a reset.  Another endpoint can still
    respond in time if it gets the request well before the objective of 300 ms.
    """
    _, caller = gateway.start('/visit/1')
    gateway.last_attempt.mark_sent()

    gateway.advance(200)

    assert len(gateway.attempts.sent) == 2
    assert gateway.attempts.sent[0].cancelled
    gateway.last_attempt.respond(SUCCESS, b'done')
    assert caller.body == b'done'


def test_non_idempotent_request_waits_for_an_unresponsive_endpoint(gateway):
    _, caller = gateway.start('/parts/1', method='POST')
    gateway.last_attempt.mark_sent()

    gateway.advance(2_900)
    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'waiting'
    gateway.advance(200)

    assert caller.refusal.code is ResultCode.ANSWER_TIMEOUT
    assert caller.refusal.ran is Ran.UNKNOWN
    assert gateway.last_attempt.cancelled


def test_engine_that_responds_to_a_probe_is_not_abandoned(gateway):
    """Guards against prefilling a prompt twice.

    An engine that prefills long prompts sends no token for 1 s.  It has not crashed;
    another engine would prefill the prompt again while this one continues.
    """
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()

    gateway.advance(2_000)

    assert gateway.attempts.probes
    assert len(gateway.attempts.sent) == 1


def test_engine_that_crashes_after_a_probe_is_abandoned(gateway):
    """Guards against trusting a successful probe for too long.

    The engine responded to a probe while it prefilled the prompt, and became unresponsive
    afterwards; the diagnosis would wait for it until its deadline.
    """
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()
    gateway.advance(800)
    assert gateway.attempts.probes

    gateway.attempts.engines_alive = False
    gateway.advance(1_000)

    assert len(gateway.attempts.sent) == 2


def test_attempt_that_has_ended_is_not_abandoned_again(gateway):
    """Guards against running a request three times.

    The connection to the first engine is lost, and the load report of the next engine is
    delayed; the timer of the first attempt must not start another attempt.
    """
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()
    gateway.attempts.defers_probes = True
    gateway.last_attempt.break_connection()
    gateway.advance(3_000)
    assert len(gateway.attempts.sent) == 1

    gateway.attempts.complete_probes()

    assert len(gateway.attempts.sent) == 2


def test_crashed_engine_is_abandoned_after_a_probe(gateway):
    gateway.attempts.engines_alive = False
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()

    gateway.advance(1_000)

    assert len(gateway.attempts.sent) == 2
    assert gateway.attempts.sent[0].cancelled


def test_stream_resumes_at_another_engine_without_gap_or_duplicate(gateway):
    """Guards against lost or duplicate events after a crash within an event.

    The first engine stops in the middle of event 3.  The next one resumes after event 2
    and sends it again, which is allowed.  The caller must receive the head and each event
    once.
    """
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, event(1) + event(2) + b'id: 3\nda')
    gateway.last_attempt.break_connection()

    assert gateway.last_attempt.attempt.last_event == '2'
    gateway.last_attempt.respond(STREAM, event(2) + event(3) + event(4))

    assert caller.body == event(1) + event(2) + event(3) + event(4)
    assert caller.state == 'whole'


def test_stream_that_cannot_be_resumed_is_visibly_aborted(gateway):
    """Guards against an incomplete draft that looks complete.

    The engine crashes in the middle of the stream.  The caller must see that the response
    was aborted; an orderly end would make it look complete.
    """
    _, caller = gateway.start('/draft/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, event(1))
    gateway.last_attempt.break_connection()

    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'


def test_stream_that_ends_within_an_event_is_not_complete(gateway):
    _, caller = gateway.start('/draft/1', prompt=make_prompt())

    gateway.last_attempt.respond(STREAM, event(1) + b'id: 2\nda')

    assert caller.state == 'cut'


def test_stream_with_an_event_above_the_limit_resumes_at_another_engine(gateway):
    """Guards against an endpoint that exhausts the memory of an instance.

    It sends an event that has no end.  The caller must receive the events before it once,
    and the rest from another engine, as after a crash.
    """
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    endless = b'id: 2\ndata: ' + b'x' * MAX_EVENT_BYTES
    gateway.last_attempt.start_response(STREAM, event(1) + endless)

    assert gateway.attempts.sent[0].cancelled
    assert gateway.last_attempt.attempt.last_event == '1'
    gateway.last_attempt.respond(STREAM, event(2) + event(3))

    assert caller.body == event(1) + event(2) + event(3)
    assert caller.state == 'whole'


def test_stream_with_an_event_above_the_limit_is_aborted_if_not_resumable(gateway):
    _, caller = gateway.start('/draft/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, event(1) + b'x' * 2 * MAX_EVENT_BYTES)

    assert gateway.attempts.sent[0].cancelled
    assert (caller.body, caller.state) == (event(1), 'cut')


def test_failed_response_is_not_buffered_without_limit(gateway):
    """Guards against an endpoint that exhausts the memory of an instance.

    It fails a request with a body that has no end.
    """
    _, caller = gateway.start('/visit/1')
    gateway.last_attempt.start_response(FAILURE, b'x' * (MAX_BUFFERED_BYTES + 1))

    assert gateway.attempts.sent[0].cancelled
    gateway.last_attempt.respond(SUCCESS, b'own')
    assert (caller.body, caller.state) == (b'own', 'whole')


def test_large_failure_that_is_not_retried_reaches_its_caller_whole(gateway):
    body = b'x' * (MAX_BUFFERED_BYTES + 1)
    _, caller = gateway.start('/parts/1', method='POST', body=b'impeller')
    gateway.last_attempt.respond(FAILURE, body)

    assert (caller.status, caller.body, caller.state) == (500, body, 'whole')


def test_refusal_with_a_large_body_is_still_one(gateway):
    _, caller = gateway.start('/parts/1', method='POST', body=b'impeller')
    gateway.last_attempt.start_response(REJECTION, b'x' * (MAX_BUFFERED_BYTES + 1))

    assert gateway.attempts.sent[0].cancelled
    gateway.last_attempt.respond(SUCCESS, b'booked')
    assert (caller.body, caller.state) == (b'booked', 'whole')


def test_response_to_another_request_is_not_forwarded(gateway):
    """Guards against forwarding a response to the wrong caller.

    On a kept-alive connection an endpoint sends a late second response to the previous
    request.
    """
    _, caller = gateway.start('/visit/1')
    gateway.last_attempt.mark_sent()
    gateway.last_attempt.listener.response_started(FOREIGN)

    assert gateway.attempts.sent[0].cancelled
    assert caller.state == 'waiting'
    gateway.last_attempt.respond(SUCCESS, b'own')
    assert caller.body == b'own'


def test_disconnected_caller_stops_the_work(gateway):
    """Guards against wasted work after the caller has disconnected.

    The caller closes its connection while its request waits; the engine must stop, or it
    generates tokens that are never read.
    """
    execution, _ = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.mark_sent()

    execution.caller_left()

    assert gateway.last_attempt.cancelled
    assert all(record.outstanding == 0 for record in gateway.parts.roster)
    gateway.advance(20_000)
    assert len(gateway.attempts.sent) == 1


def test_stream_is_aborted_at_the_timeout(gateway):
    _, caller = gateway.start('/draft/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, event(1))

    gateway.advance(6_000)

    assert caller.state == 'cut'
    assert gateway.last_attempt.cancelled


def test_endpoint_receives_the_remaining_time(gateway):
    gateway.start('/visit/1', deadline_ms=1_000)
    assert gateway.last_attempt.attempt.remaining_ms == 1_000
    gateway.advance(200)
    assert gateway.last_attempt.attempt.remaining_ms == 820


def test_request_that_crashed_three_endpoints_is_refused(gateway):
    """Guards against a poison request that crashes one endpoint after another.

    Its caller sends the same request repeatedly.  After three crashes it is refused;
    other requests still run.
    """
    for number in range(3):
        gateway.start('/parts/1', method='POST', body=b'poison')
        gateway.last_attempt.mark_sent()
        gateway.last_attempt.break_connection()
        gateway.parts.roster.record_end(EndpointRun(gateway.last_attempt.endpoint))
        assert len(gateway.attempts.sent) == number + 1

    refusal = gateway.admit('/parts/1', method='POST', body=b'poison')
    assert refusal.code is ResultCode.CRASH_SUSPECT
    assert refusal.ran is Ran.NOT_RUN
    assert gateway.admit('/parts/1', method='POST', body=b'other').rank == 8


def test_request_without_endpoints_is_refused_at_once():
    gateway = make_gateway(desks=0)

    _, caller = gateway.start('/visit/1')

    assert caller.refusal.code is ResultCode.NO_ENDPOINT
    assert caller.refusal.ran is Ran.NOT_RUN


def test_connection_resets_alone_do_not_make_a_request_suspect(gateway):
    """Guards against refusing a popular request because of network failures.

    A faulty network resets connections to every endpoint while the same request runs
    there, but no endpoint crashes.
    """
    for _ in range(10):
        gateway.start('/parts/1', method='POST', body=b'popular')
        gateway.last_attempt.mark_sent()
        gateway.last_attempt.break_connection()

    assert gateway.admit('/parts/1', method='POST', body=b'popular').rank == 8
