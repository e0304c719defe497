"""Tests of engines that say in a load report that they leave."""

from __future__ import annotations

import pytest
from gateway_fakes import IDLE, make_entry, make_prompt, make_scene

LEAVES = IDLE._replace(leaving=True)


@pytest.fixture
def scene():
    """One gateway with an engine that leaves and has said so, and another one."""
    scene = make_scene(engines=2)
    scene.attempts.loads['e0'] = LEAVES
    scene.parts.loads.ask(scene.parts.roster.get('e0'), lambda lives: None)  # noqa: ARG005
    return scene


def usable(scene):
    return [each.entry.endpoint for each in scene.parts.roster.usable('pool')]


def test_engine_that_leaves_gets_nothing_new(scene):
    assert usable(scene) == ['e1']


@pytest.mark.parametrize('sequence', [1, 2])
def test_entry_does_not_take_back_that_an_engine_leaves(scene, sequence):
    """Guards against an engine that a listing or its next heartbeat brings back."""
    scene.parts.roster.apply(make_entry('e0', 'pool', slots=64, sequence=sequence))

    assert usable(scene) == ['e1']


def test_engine_that_leaves_stays_out_when_its_entry_was_gone_for_a_while(scene):
    """Guards against an engine that an older copy of the store brings back."""
    scene.parts.roster.store_failed(scene.clock.now_ms())
    scene.parts.roster.withhold('e0')
    scene.parts.roster.apply(make_entry('e0', 'pool', slots=64, sequence=2))

    assert usable(scene) == ['e1']


def test_new_run_of_an_engine_that_left_is_used(scene):
    entry = make_entry('e0', 'pool', slots=64, sequence=1, born_ms=5)
    scene.parts.roster.apply(entry)

    assert sorted(usable(scene)) == ['e0', 'e1']


def test_request_that_was_about_to_leave_goes_to_another_engine(scene):
    """Guards against a request that was chosen before its engine said that it leaves."""
    scene.start('/diagnosis/1', prompt=make_prompt())

    assert scene.last.endpoint == 'e1'
