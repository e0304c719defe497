"""Tests of engines that fail requests while their load reports look good."""

from __future__ import annotations

import pytest
from gateway_fakes import FAILURE, IDLE, STREAM, make_prompt

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth

SHORT = make_prompt('s', shared=170, own=540, answer=280)


def fail_first_engine(scene, times=12):
    """Let the first engine chosen for diagnoses fail all of them; return its name.

    The other engines answer.
    """
    for record in scene.parts.roster:
        record.apply_report(IDLE, scene.clock.now_ms())
    scene.start('/diagnosis/1', method='POST', prompt=SHORT)
    failing = scene.last.endpoint
    for _ in range(times):
        while scene.last.endpoint == failing:
            scene.last.answer(FAILURE)
        scene.last.answer(STREAM, b'id: 1\ndata: x\n\n')
        scene.start('/diagnosis/1', method='POST', prompt=SHORT)
    return failing


def test_failures_of_one_engine_do_not_refuse_most_urgent_stream(scene):
    """Guards against refusal of the most urgent streams while others are served.

    The dedicated engine fails half of its requests while its reports look good.  When
    the failures counted as a wait of a second, longer than the most urgent streams may
    wait, these were refused.  As none succeeded any more, they were refused for the
    rest of the day.
    """
    fail_first_engine(scene)
    _, caller = scene.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert caller.refusal is None
    assert caller.state == 'waiting'


def test_stream_leaves_partition_whose_engine_fails(scene):
    failing = fail_first_engine(scene)
    scene.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert scene.last.endpoint != failing


def test_failed_engine_is_used_again_after_a_while(scene):
    """Guards against an engine that gets no requests after it has recovered.

    Only a success reduced its failure share, and no request was sent there.
    """
    failing = fail_first_engine(scene)
    scene.advance(20_000)
    for record in scene.parts.roster:
        record.apply_report(IDLE, scene.clock.now_ms())
    scene.parts.configuration.confirm(scene.clock.now_ms())
    used = set()
    for _ in range(8):
        scene.start('/diagnosis/1', method='POST', prompt=SHORT)
        used.add(scene.last.endpoint)

    assert failing in used


def test_failure_share_decays():
    health = EndpointHealth()
    for _ in range(10):
        health.record_failure(1_000)
    initial = health.failure_share(1_000)

    assert initial > 0.5
    assert health.failure_share(3_000) == pytest.approx(initial / 2, rel=0.01)
    assert health.failure_share(60_000) < 0.01
