"""Tests of engines that fail requests while their load reports look good."""

from __future__ import annotations

import pytest
from gateway_fakes import FAILURE, IDLE, STREAM, make_prompt

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth

SHORT = make_prompt('s', shared=170, own=540, answer=280)


def fail_first_engine(gateway, times=12):
    """Let the first engine chosen for diagnoses fail all of them; return its name.

    The other engines respond.
    """
    for record in gateway.parts.roster:
        record.apply_report(IDLE, gateway.clock.now_ms())
    gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    failing = gateway.last_attempt.endpoint
    for _ in range(times):
        while gateway.last_attempt.endpoint == failing:
            gateway.last_attempt.respond(FAILURE)
        gateway.last_attempt.respond(STREAM, b'id: 1\ndata: x\n\n')
        gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    return failing


def test_failures_of_one_engine_do_not_refuse_most_urgent_stream(gateway):
    """Guards against refusal of the most urgent streams while others are served.

    The dedicated engine fails half of its requests while its reports look good.  When
    the failures counted as a wait of a second, longer than the most urgent streams may
    wait, these were refused.  As none succeeded any more, they were refused for the
    rest of the day.
    """
    fail_first_engine(gateway)
    _, caller = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert caller.refusal is None
    assert caller.state == 'waiting'


def test_stream_leaves_partition_whose_engine_fails(gateway):
    failing = fail_first_engine(gateway)
    gateway.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert gateway.last_attempt.endpoint != failing


def test_failed_engine_is_used_again_after_a_while(gateway):
    """Guards against an engine that gets no requests after it has recovered.

    Only a success reduced its failure share, and no request was sent there.
    """
    failing = fail_first_engine(gateway)
    gateway.advance(20_000)
    for record in gateway.parts.roster:
        record.apply_report(IDLE, gateway.clock.now_ms())
    gateway.parts.configuration.confirm(gateway.clock.now_ms())
    used = set()
    for _ in range(8):
        gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
        used.add(gateway.last_attempt.endpoint)

    assert failing in used


def test_failure_share_decays():
    health = EndpointHealth()
    for _ in range(10):
        health.record_failure(1_000)
    initial = health.failure_share(1_000)

    assert initial > 0.5
    assert health.failure_share(3_000) == pytest.approx(initial / 2, rel=0.01)
    assert health.failure_share(60_000) < 0.01
