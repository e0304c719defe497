"""Tests of engines that fail requests while they answer questions well."""

from __future__ import annotations

import pytest
from gateway_fakes import FAILURE, IDLE, make_prompt

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth

SHORT = make_prompt('s', shared=170, own=540, answer=280)


def fail_lane(scene, times=12):
    """Let the engine that serves diagnoses fail some of them; return its name."""
    for record in scene.parts.roster:
        record.report(IDLE, scene.clock.now_ms())
    names = []
    for _ in range(times):
        scene.start('/diagnosis/1', method='POST', prompt=SHORT)
        names.append(scene.last.endpoint)
        scene.last.answer(FAILURE)
    return names[0]


def test_most_urgent_stream_is_not_refused_for_failures_of_one_engine(scene):
    """The most urgent streams refused, the least urgent served.

    The engine of the steady lane fails half of its requests while its reports are good.
    The failures counted as a wait of a second, beyond what the most urgent streams may
    wait; refused, none succeeded any more, and they were refused for the rest of the day.
    """
    fail_lane(scene)
    _, caller = scene.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert caller.refusal is None
    assert caller.state == 'waiting'


def test_stream_leaves_a_lane_whose_engine_fails(scene):
    failing = fail_lane(scene)
    scene.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert scene.last.endpoint != failing


def test_engine_that_failed_is_tried_again_after_a_while(scene):
    """An engine that got no more requests after it had recovered.

    Only a success could take the blame away, and none was sent there.
    """
    failing = fail_lane(scene)
    scene.advance(20_000)
    for record in scene.parts.roster:
        record.report(IDLE, scene.clock.now_ms())
    scene.parts.configuration.confirm(scene.clock.now_ms())
    scene.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert scene.last.endpoint == failing


def test_blame_fades():
    health = EndpointHealth()
    for _ in range(10):
        health.failed(1_000)
    first = health.failure_share(1_000)

    assert first > 0.5
    assert health.failure_share(3_000) == pytest.approx(first / 2, rel=0.01)
    assert health.failure_share(60_000) < 0.01
