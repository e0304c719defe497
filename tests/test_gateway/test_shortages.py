"""Tests of tiers that get nothing, and of those below that are held back."""

from __future__ import annotations

import pytest
from gateway_fakes import START_MS, STREAM, make_prompt

from savorychute.gateway.dispatch.shortages import Shortages
from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream
from savorychute.membership.tier_shortage import TierShortage

CHAT, NOTE, SUMMARY = 1, 4, 7
FULL_MS = 5_000
SHORT = make_prompt('s', shared=170, own=540, answer=280)


def make_shortages(offered=100, unserved=0, rank=NOTE, instances=1):
    shortages = Shortages()
    shortages.instances = instances
    for _ in range(offered):
        shortages.offer('pool', rank, START_MS)
    for _ in range(unserved):
        shortages.got_nothing('pool', rank, START_MS)
    return shortages


def held(shortages, rank, now_ms=START_MS, service='pool'):
    return shortages.held_share(service, rank, now_ms)


@pytest.mark.parametrize('unserved', [0, 1])
def test_a_single_loss_holds_nothing_back(unserved):
    assert held(make_shortages(unserved=unserved), SUMMARY) == 0.0


def test_a_tier_that_gets_nothing_holds_back_those_below_alone():
    shortages = make_shortages(unserved=8)

    assert held(shortages, SUMMARY) == 1.0
    assert held(shortages, NOTE) == 0.0
    assert held(shortages, CHAT) == 0.0


def test_the_most_urgent_tier_holds_back_all_others():
    shortages = make_shortages(unserved=8, rank=CHAT)

    assert held(shortages, SUMMARY) == held(shortages, NOTE) == 1.0


def test_a_few_losses_among_many_requests_hold_back_little():
    assert held(make_shortages(offered=400, unserved=5), SUMMARY) < 0.5


def test_another_service_has_room_of_its_own():
    assert held(make_shortages(unserved=8), SUMMARY, service='other') == 0.0


def test_what_was_lost_is_forgotten_after_five_seconds():
    shortages = make_shortages(unserved=8)

    assert held(shortages, SUMMARY, START_MS + FULL_MS) == 0.0


def test_losses_elsewhere_hold_back_here():
    """Summaries that one half of a fleet began while the other half refused notes."""
    here, there = make_shortages(instances=2), make_shortages(unserved=8, instances=2)
    here.hear(there.advertised(START_MS), START_MS)

    assert held(here, SUMMARY) == 1.0


def test_nothing_is_told_on_a_calm_day():
    assert make_shortages().advertised(START_MS) == ()


def test_one_loss_in_a_large_fleet_holds_nothing_back():
    """Summaries refused by a dozen of 195 instances, for one note that was refused at one.

    Few instances are heard, so each of them stands for many others.
    """
    shortages = make_shortages(offered=3, instances=195)
    for said in [(TierShortage('pool', 1, 1.0),), *[()] * 11]:
        shortages.hear(said, START_MS)

    assert held(shortages, SUMMARY) == 0.0


def report_full(gateway):
    """Let all engines say that streams of the most urgent rank take all places."""
    streams = (RunningStream(0, 30),) * 64
    for record in gateway.parts.roster:
        load = EngineLoad(20, 0, 64, 700, streams=streams)
        record.report(load, gateway.clock.now_ms())
    gateway.attempts.defers_probes = True


def unserved(gateway):
    said = gateway.parts.shortages.advertised(gateway.clock.now_ms())
    return {each.tier: round(each.unserved) for each in said}


def test_refused_request_counts(gateway):
    for record in gateway.parts.roster:
        load = EngineLoad(200, 4, 200, 9_000)
        record.report(load, gateway.clock.now_ms())
    gateway.attempts.loads = {
        record.entry.endpoint: record.load for record in gateway.parts.roster
    }

    _, caller = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert caller.state == 'refused'
    assert unserved(gateway) == {0: 1}


def test_refused_request_of_the_last_tier_is_not_told(gateway):
    for record in gateway.parts.roster:
        record.report(EngineLoad(120, 4, 40, 9_000), gateway.clock.now_ms())

    _, caller = gateway.start('/draft/1', prompt=make_prompt())

    assert caller.state == 'refused'
    assert unserved(gateway) == {}


def test_caller_that_waited_in_vain_at_a_full_engine_counts(gateway):
    course, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.advance(2_000)
    report_full(gateway)
    course.caller_left()

    assert unserved(gateway) == {0: 1}


def test_caller_that_leaves_early_does_not_count(gateway):
    course, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.advance(500)
    report_full(gateway)
    course.caller_left()

    assert unserved(gateway) == {}


def test_caller_that_leaves_a_silent_engine_with_room_does_not_count(gateway):
    """Summaries held back for an engine that hangs while the others are idle."""
    course, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.advance(2_000)
    course.caller_left()

    assert unserved(gateway) == {}


def test_caller_that_leaves_a_stream_does_not_count(gateway):
    course, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.last_attempt.start_response(STREAM, b'id: 1\ndata: x\n\n')
    gateway.advance(2_000)
    report_full(gateway)
    course.caller_left()

    assert unserved(gateway) == {}
