"""Tests of tiers with unserved requests, and of the shedding of lower tiers."""

from __future__ import annotations

import pytest
from gateway_fakes import START_MS, STREAM, make_prompt

from savorychute.gateway.dispatch.shortages import Shortages
from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream
from savorychute.membership.tier_shortage import TierShortage

CHAT, NOTE, SUMMARY = 1, 4, 7
UNSERVED_DECAY_MS = 5_000
SHORT = make_prompt('s', shared=170, own=540, answer=280)


def make_shortages(offered=100, unserved=0, rank=NOTE, instances=1):
    shortages = Shortages()
    shortages.instances = instances
    for _ in range(offered):
        shortages.record_offered('pool', rank, START_MS)
    for _ in range(unserved):
        shortages.record_unserved('pool', rank, START_MS)
    return shortages


def shed_share(shortages, rank, now_ms=START_MS, service='pool'):
    return shortages.shed_share(service, rank, now_ms)


@pytest.mark.parametrize('unserved', [0, 1])
def test_a_single_unserved_request_sheds_nothing(unserved):
    assert shed_share(make_shortages(unserved=unserved), SUMMARY) == 0.0


def test_unserved_tier_sheds_only_lower_tiers():
    shortages = make_shortages(unserved=8)

    assert shed_share(shortages, SUMMARY) == 1.0
    assert shed_share(shortages, NOTE) == 0.0
    assert shed_share(shortages, CHAT) == 0.0


def test_most_urgent_tier_sheds_all_others():
    shortages = make_shortages(unserved=8, rank=CHAT)

    assert shed_share(shortages, SUMMARY) == shed_share(shortages, NOTE) == 1.0


def test_few_unserved_among_many_requests_shed_little():
    assert shed_share(make_shortages(offered=400, unserved=5), SUMMARY) < 0.5


def test_services_have_separate_shortages():
    assert shed_share(make_shortages(unserved=8), SUMMARY, service='other') == 0.0


def test_unserved_requests_expire_after_five_seconds():
    shortages = make_shortages(unserved=8)

    assert shed_share(shortages, SUMMARY, START_MS + UNSERVED_DECAY_MS) == 0.0


def test_shortages_of_other_instances_shed_locally():
    """Guards against instances that start summaries while others refuse notes."""
    local, remote = make_shortages(instances=2), make_shortages(unserved=8, instances=2)
    local.record_reported(remote.advertised(START_MS), START_MS)

    assert shed_share(local, SUMMARY) == 1.0


def test_nothing_is_reported_without_shortages():
    assert make_shortages().advertised(START_MS) == ()


def test_one_unserved_request_in_a_large_fleet_sheds_nothing():
    """Guards against summaries refused by 12 of 195 instances for one refused note.

    Few instances report at a time, so each of them represents many others.
    """
    shortages = make_shortages(offered=3, instances=195)
    for reported in [(TierShortage('pool', 1, 1.0),), *[()] * 11]:
        shortages.record_reported(reported, START_MS)

    assert shed_share(shortages, SUMMARY) == 0.0


def report_full_engines(gateway):
    """Let all engines report that the most urgent streams use all slots."""
    streams = (RunningStream(0, 30),) * 64
    for record in gateway.parts.roster:
        load = EngineLoad(20, 0, 64, 700, streams=streams)
        record.apply_report(load, gateway.clock.now_ms())
    gateway.attempts.defers_probes = True


def count_unserved(gateway):
    reported = gateway.parts.shortages.advertised(gateway.clock.now_ms())
    return {each.tier: round(each.unserved) for each in reported}


def test_refused_request_counts(gateway):
    for record in gateway.parts.roster:
        load = EngineLoad(200, 4, 200, 9_000)
        record.apply_report(load, gateway.clock.now_ms())
    gateway.attempts.loads = {
        record.entry.endpoint: record.load for record in gateway.parts.roster
    }

    _, caller = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)

    assert caller.state == 'refused'
    assert count_unserved(gateway) == {0: 1}


def test_refused_request_of_the_last_tier_is_not_reported(gateway):
    for record in gateway.parts.roster:
        record.apply_report(EngineLoad(120, 4, 40, 9_000), gateway.clock.now_ms())

    _, caller = gateway.start('/draft/1', prompt=make_prompt())

    assert caller.state == 'refused'
    assert count_unserved(gateway) == {}


def test_caller_that_leaves_a_full_engine_without_response_counts(gateway):
    execution, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.advance(2_000)
    report_full_engines(gateway)
    execution.caller_left()

    assert count_unserved(gateway) == {0: 1}


def test_caller_that_leaves_early_does_not_count(gateway):
    execution, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.advance(500)
    report_full_engines(gateway)
    execution.caller_left()

    assert count_unserved(gateway) == {}


def test_caller_that_leaves_unresponsive_engine_with_free_slots_does_not_count(gateway):
    """Guards against summaries shed for a hanging engine while the others are idle."""
    execution, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.advance(2_000)
    execution.caller_left()

    assert count_unserved(gateway) == {}


def test_caller_that_leaves_a_started_stream_does_not_count(gateway):
    execution, _ = gateway.start('/diagnosis/1', method='POST', prompt=SHORT)
    gateway.last_attempt.start_response(STREAM, b'id: 1\ndata: x\n\n')
    gateway.advance(2_000)
    report_full_engines(gateway)
    execution.caller_left()

    assert count_unserved(gateway) == {}
