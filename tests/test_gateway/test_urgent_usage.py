"""Tests of the share of slots that higher tiers use."""

from __future__ import annotations

import random

import pytest
from gateway_fakes import START_MS, make_entry, make_prompt

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.engine_state import USABLE_REPORT_MS
from savorychute.gateway.dispatch.overload_guard import (
    SLOTS_ABOVE_LIMIT,
    TIER_ABOVE_LIMIT,
    OverloadGuard,
)
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.gateway.dispatch.shortages import Shortages
from savorychute.gateway.dispatch.urgent_usage import (
    UrgentUsage,
    UsageMonitor,
    used_share,
)
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream

CHAT, NOTE, SUMMARY = 1, 4, 7
SLOTS = 64


def make_engine(name, streams=(), waiting=0, generating=None, slots=SLOTS):
    record = EndpointRecord(make_entry(name, 'pool', slots=slots))
    generating = len(streams) if generating is None else generating
    load = EngineLoad(waiting, 0, generating, 1_000, streams=tuple(streams))
    record.apply_report(load, START_MS)
    return record


def make_streams(rank, number):
    return [RunningStream(rank, 20)] * number


def test_only_higher_tiers_count():
    streams = make_streams(CHAT, 16) + make_streams(NOTE, 8) + make_streams(SUMMARY, 30)
    engines = [make_engine('e0', streams), make_engine('e1')]

    assert used_share(engines, SUMMARY, START_MS) == 24 / (2 * SLOTS)
    assert used_share(engines, NOTE, START_MS) == 16 / (2 * SLOTS)
    assert used_share(engines, CHAT, START_MS) == 0


def test_waiting_requests_count_unless_they_are_less_urgent():
    chats = make_streams(CHAT, 20)
    just_started = [RunningStream(SUMMARY, 1)]
    urgent_queue = make_engine('e0', chats, waiting=12)
    summary_queue = make_engine('e1', chats + just_started, waiting=12)

    assert used_share([urgent_queue], SUMMARY, START_MS) == 32 / SLOTS
    assert used_share([summary_queue], SUMMARY, START_MS) == 20 / SLOTS


def test_engine_whose_report_tells_no_ranks_does_not_count():
    """Guards against summaries that are shed for the sake of other summaries."""
    unranked = make_engine('e0', generating=60)
    ranked = make_engine('e1', make_streams(CHAT, 16))

    assert used_share([unranked], SUMMARY, START_MS) is None
    assert used_share([unranked, ranked], SUMMARY, START_MS) == 16 / SLOTS


def test_outdated_reports_do_not_count():
    engines = [make_engine('e0', make_streams(CHAT, 60))]

    assert used_share(engines, SUMMARY, START_MS + USABLE_REPORT_MS + 1) is None


def make_case(share, usual=0.1):
    usage = UrgentUsage(share, usual)
    choice = Choice(make_engine('e0'), 2_000, 0.0, load_known=True, urgent_usage=usage)
    return choice, RequestRequirements(make_prompt(), 600, 1_200, SUMMARY)


def count_admitted(*usage):
    guard = OverloadGuard(random.Random(1))
    case = make_case(*usage)
    return sum(guard.admits(*case, START_MS) for _ in range(100))


@pytest.mark.parametrize('share', [0.0, 0.1, 0.25])
def test_usual_urgent_load_sheds_nothing(share):
    assert count_admitted(share) == 100


def test_last_tier_is_shed_before_higher_tiers_use_all_slots():
    """Guards against summaries that start while chats take the last slots of notes."""
    assert count_admitted(0.5) == 0


def test_last_tier_does_not_starve_where_urgent_load_is_always_high():
    """Guards against a service whose last tier gets none of its free slots.

    Chats use half of the slots, after a rise from a tenth of them.
    """
    monitor = UsageMonitor()
    monitor.measure([make_engine('e0', make_streams(CHAT, 6))], SUMMARY, START_MS)
    engine = make_engine('e0', make_streams(CHAT, 32))
    admitted = []
    for second in range(1, 31):
        now_ms = START_MS + 1_000 * second
        engine.apply_report(engine.load, now_ms)
        usage = monitor.measure([engine], SUMMARY, now_ms)
        admitted.append(count_admitted(*usage))

    assert admitted[:3] == [0, 0, 0]
    assert admitted[-1] == 100


def test_time_without_reports_does_not_change_the_usual_share():
    """Guards against a last tier that is shed as if its usual load were a rise."""
    monitor = UsageMonitor()
    engine = make_engine('e0', make_streams(CHAT, 32))
    monitor.measure([engine], SUMMARY, START_MS)
    later_ms = START_MS + 60_000

    assert monitor.measure([engine], SUMMARY, later_ms) == UrgentUsage(0.0, 0.5)
    engine.apply_report(engine.load, later_ms)
    assert monitor.measure([engine], SUMMARY, later_ms) == UrgentUsage(0.5, 0.5)


def test_log_distinguishes_used_slots_from_a_shortage():
    case = make_case(0.5)
    shortages = Shortages()
    guard = OverloadGuard(random.Random(1), shortages)
    before = guard.binding_limit(*case, START_MS)
    for _ in range(40):
        shortages.record_unserved('pool', NOTE, START_MS)

    assert before == SLOTS_ABOVE_LIMIT
    assert guard.binding_limit(*case, START_MS) == TIER_ABOVE_LIMIT
