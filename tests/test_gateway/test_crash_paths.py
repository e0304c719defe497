"""Tests that every path that sends a request asks for the verdict on it."""

from __future__ import annotations

import random

import pytest
from gateway_fakes import REJECTION, STREAM, make_gateway, make_prompt, make_request

from savorychute.crashes.verdict import CERTAIN_DELAY_MS, VerdictKey, make_verdict
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.recovery.crash_guard import CrashGuard
from savorychute.gateway.requests.intake import Intake, find_traits
from savorychute.gateway.requests.prompt import Prompt, PromptPart
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

PROMPT = make_prompt('bad')
OTHER = make_prompt('5a0')
EVENT = b'id: 1\ndata: x\n\n'


def find_part(prompt=PROMPT):
    return find_traits(make_request('/draft/1', prompt=prompt), 'kochi').parts[0]


def make_bad_prompt(number):
    """Return a prompt whose parts behind the bad one let engines be chosen."""
    parts = [
        PromptPart('bad', 500),
        PromptPart(f'd{number}', 500),
        PromptPart('own', 9),
    ]
    return Prompt('m', 1_009, 20, tuple(parts))


def convict(gateway, *parts):
    """Put a verdict on some parts in force, as another instance told it."""
    key = VerdictKey('pool', parts or (find_part(),))
    verdict = make_verdict(key, 3, True, gateway.clock.now_ms())
    assert gateway.parts.crashes.merge_verdict(verdict, gateway.clock.now_ms())


@pytest.fixture
def gateway():
    gateway = make_gateway()
    roster = gateway.parts.roster
    gateway.parts.crashes.on_conviction = roster.notify_verdict
    return gateway


def test_first_try_asks(gateway):
    convict(gateway)
    refusal = gateway.admit('/diagnosis/1', prompt=PROMPT)
    assert (refusal.code, refusal.ran) == (ResultCode.CRASH_SUSPECT, Ran.NOT_RUN)
    assert refusal.retry_after_ms == CERTAIN_DELAY_MS
    assert refusal.traits == (find_part(),)
    assert gateway.admit('/diagnosis/1', prompt=OTHER).service.name == 'pool'


def test_retry_asks(gateway):
    """Guards against a retry of a request that was convicted after its first attempt."""
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    gateway.last_attempt.mark_sent()
    gateway.parts.crashes.on_conviction = None
    convict(gateway)
    gateway.last_attempt.break_connection()
    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.ran is Ran.UNKNOWN


def test_retry_after_a_rejection_asks(gateway):
    """Guards against a refusal that does not say that the request did not run."""
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    gateway.last_attempt.mark_sent()
    gateway.parts.crashes.on_conviction = None
    convict(gateway)
    gateway.last_attempt.listener.response_started(REJECTION)
    gateway.last_attempt.listener.response_ended()
    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.code is ResultCode.CRASH_SUSPECT
    assert caller.refusal.ran is Ran.NOT_RUN


def test_stream_that_resumes_asks(gateway):
    """Guards against a stream that goes on at another endpoint, and crashes it."""
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    gateway.last_attempt.start_response(STREAM, EVENT)
    convict(gateway)
    gateway.last_attempt.break_connection()
    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'


def test_attempt_asks_right_before_its_first_byte(gateway):
    """Guards against a send after a long wait for a connection or a tunnel."""
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    gateway.parts.crashes.on_conviction = None
    convict(gateway)
    assert not gateway.last_attempt.listener.can_send()
    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.code is ResultCode.CRASH_SUSPECT
    assert caller.refusal.ran is Ran.NOT_RUN


def test_search_asks_when_load_reports_arrive(gateway):
    """Guards against a request that waited for reports while it was convicted."""
    gateway.attempts.defers_probes = True
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    assert gateway.attempts.sent == []
    convict(gateway)
    gateway.attempts.complete_probes()
    assert gateway.attempts.sent == []
    assert caller.refusal.code is ResultCode.CRASH_SUSPECT


def test_attempt_that_has_not_begun_to_respond_is_stopped(gateway):
    """Guards against a crash by a request that already waits at an endpoint."""
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    gateway.last_attempt.mark_sent()
    convict(gateway)
    assert gateway.last_attempt.cancelled
    assert caller.refusal.ran is Ran.UNKNOWN


def test_attempt_that_responds_goes_on(gateway):
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    gateway.last_attempt.start_response(STREAM, EVENT)
    convict(gateway)
    assert not gateway.last_attempt.cancelled
    gateway.last_attempt.listener.response_ended()
    assert caller.state == 'whole'


def test_attempt_of_another_request_goes_on(gateway):
    gateway.start('/diagnosis/1', prompt=OTHER)
    gateway.last_attempt.mark_sent()
    convict(gateway)
    assert not gateway.last_attempt.cancelled


def test_trial_is_sent_once(gateway):
    """Guards against a trial whose retry crashes a second endpoint."""
    convict(gateway)
    gateway.advance(CERTAIN_DELAY_MS)
    gateway.parts.configuration.confirm(gateway.clock.now_ms())
    _, caller = gateway.start('/diagnosis/1', prompt=PROMPT)
    assert gateway.last_attempt.listener.can_send()
    gateway.last_attempt.break_connection()
    assert len(gateway.attempts.sent) == 1
    assert caller.refusal.ran is Ran.UNKNOWN
    refusal = gateway.admit('/diagnosis/1', prompt=PROMPT)
    assert refusal.code is ResultCode.CRASH_SUSPECT


def test_suspects_run_at_one_endpoint():
    """Guards against a suspect that crashes several endpoints at once."""
    gateway = make_gateway(engines=8)
    gateway.start('/diagnosis/1', prompt=make_bad_prompt(0))
    gateway.last_attempt.mark_sent()
    lost = gateway.last_attempt.endpoint
    gateway.last_attempt.break_connection()
    gateway.parts.roster.record_end(EndpointRun(lost))
    for number in range(12):
        gateway.start('/diagnosis/1', prompt=make_bad_prompt(1 + number))
        gateway.advance(50)
    endpoints = {each.endpoint for each in gateway.attempts.sent[2:]}
    assert len(endpoints) == 1
    assert lost not in endpoints


def test_instance_that_does_not_know_the_verdicts_yet_is_not_ready(gateway):
    """Guards against a part that crashes endpoints after each start of all instances."""
    guard = CrashGuard(gateway.clock.now_ms())
    intake = Intake(gateway.parts.configuration, guard, random.Random(1))
    request = make_request('/diagnosis/1', prompt=PROMPT)
    refusal = intake.admit(request, gateway.clock.now_ms())
    assert (refusal.code, refusal.ran) == (ResultCode.NOT_READY, Ran.NOT_RUN)
    guard.inform()
    assert intake.admit(request, gateway.clock.now_ms()).service.name == 'pool'
