"""Tests of engines that fail requests while they answer questions well."""

from __future__ import annotations

import pytest
from gateway_fakes import FAILURE, IDLE, STREAM, make_prompt

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth

SHORT = make_prompt('s', shared=170, own=540, answer=280)


def fail_lane(gateway, times=12):
    """Let the engine that serves diagnoses first fail all of them; return its name.

    The other engines answer.
    """
    for record in gateway.parts.roster:
        record.report(IDLE, gateway.clock.now_ms())
    gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    failing = gateway.last_attempt.endpoint
    for _ in range(times):
        while gateway.last_attempt.endpoint == failing:
            gateway.last_attempt.respond(FAILURE)
        gateway.last_attempt.respond(STREAM, b'id: 1\ndata: x\n\n')
        gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    return failing


def test_most_urgent_stream_is_not_refused_for_failures_of_one_engine(gateway):
    """The most urgent streams refused, the least urgent served.

    The engine of the steady lane fails half of its requests while its reports are good.
    The failures counted as a wait of a second, beyond what the most urgent streams may
    wait; refused, none succeeded any more, and they were refused for the rest of the day.
    """
    fail_lane(gateway)
    _, caller = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert caller.refusal is None
    assert caller.state == 'waiting'


def test_stream_leaves_a_lane_whose_engine_fails(gateway):
    failing = fail_lane(gateway)
    gateway.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert gateway.last_attempt.endpoint != failing


def test_engine_that_failed_is_tried_again_after_a_while(gateway):
    """An engine that got no more requests after it had recovered.

    Only a success could take the blame away, and none was sent there.
    """
    failing = fail_lane(gateway)
    gateway.advance(20_000)
    for record in gateway.parts.roster:
        record.report(IDLE, gateway.clock.now_ms())
    gateway.parts.configuration.confirm(gateway.clock.now_ms())
    tried = set()
    for _ in range(8):
        gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
        tried.add(gateway.last_attempt.endpoint)

    assert failing in tried


def test_blame_fades():
    health = EndpointHealth()
    for _ in range(10):
        health.failed(1_000)
    first = health.failure_share(1_000)

    assert first > 0.5
    assert health.failure_share(3_000) == pytest.approx(first / 2, rel=0.01)
    assert health.failure_share(60_000) < 0.01
