"""Tests of the load of an engine that serves by rank, as seen by each rank."""

from __future__ import annotations

import random

import pytest
from gateway_fakes import (
    START_MS,
    make_deployment,
    make_entry,
    make_gateway,
    make_prompt,
    make_route,
)

from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.configuration.service_share import ServiceShare
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.engine_state import (
    free_slots,
    is_congested,
    is_full_for,
)
from savorychute.gateway.dispatch.wait_forecast import WaitForecast
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream
from savorychute.member_address import MemberAddress
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.ping import Ping
from savorychute.membership.tier_shortage import TierShortage
from savorychute.wire.peer_codec import PeerCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys

CHAT, NOTE, SUMMARY = 1, 4, 7
# Two chats and ten summaries, of which one has just started, and 20 waiting prompts.
BUSY = EngineLoad(
    waiting=20,
    prefilling=2,
    generating=12,
    next_tokens=4_000,
    streams=(RunningStream(CHAT, 9),) * 2
    + (RunningStream(SUMMARY, 9),) * 9
    + (RunningStream(SUMMARY, 1),),
)


def make_record(load, slots=64):
    record = EndpointRecord(make_entry('e0', 'pool', slots=slots))
    record.apply_report(load, START_MS)
    return record


def test_waiting_prompts_are_not_ahead_of_more_urgent_ranks():
    assert [BUSY.waiting_ahead(rank) for rank in (CHAT, NOTE, SUMMARY)] == [0, 0, 20]
    assert [BUSY.requests_ahead(rank) for rank in (CHAT, NOTE, SUMMARY)] == [4, 4, 34]


def test_all_waiting_prompts_may_be_ahead_without_less_urgent_start():
    notes = BUSY._replace(streams=(RunningStream(NOTE, 1),) * 12)

    assert notes.waiting_ahead(NOTE) == 20


def test_engine_without_ranks_is_treated_as_a_fifo_queue():
    unranked = BUSY._replace(streams=())

    assert unranked.requests_ahead(CHAT) == 34


def test_wait_is_predicted_by_rank():
    """Guards against a note predicted to wait 0.5 s that would start after 0.2 s."""
    forecast = WaitForecast('hall', random.Random(1), EngineModels())
    record = make_record(BUSY)
    note_ms = forecast.wait_ms(record, NOTE, START_MS)
    summary_ms = forecast.wait_ms(record, SUMMARY, START_MS)

    assert summary_ms > 1_000
    assert note_ms < 300


def test_less_urgent_own_requests_do_not_count():
    record = make_record(EngineLoad(0, 0, 0, 0))
    record.start_attempt(object(), 60_000, START_MS, rank=SUMMARY)

    assert record.unreported_prefill_tokens(NOTE) == 0
    assert record.unreported_prefill_tokens(SUMMARY) == 60_000


def test_request_started_since_report_occupies_a_slot():
    """Guards against engines filled by streams that started after the last report."""
    record = make_record(EngineLoad(0, 0, 0, 0))
    stream = object()
    record.start_attempt(stream, 700, START_MS, rank=CHAT)
    record.end_prefill(stream)

    assert record.unreported_requests(CHAT) == 1
    assert record.unreported_prefill_tokens(CHAT) == 0


def test_queue_of_summaries_does_not_congest_engine_for_chats():
    """Guards against chats that all use one engine because others queue summaries."""
    record = make_record(BUSY)

    assert not is_congested(record, CHAT, START_MS)
    assert is_congested(record, SUMMARY, START_MS)


@pytest.mark.parametrize('instances, left', [(1, 59.0), (8, 52.0), (80, 0.0)])
def test_last_slots_are_shared_with_other_instances(instances, left):
    record = make_record(BUSY)
    record.start_attempt(object(), 700, START_MS, rank=CHAT)

    assert free_slots(record, CHAT, START_MS, instances) == left


@pytest.mark.parametrize('rank, full', [(CHAT, False), (NOTE, False), (SUMMARY, True)])
def test_engine_is_full_for_ranks_that_cannot_pass(rank, full):
    assert is_full_for(make_record(BUSY, slots=12), rank, START_MS) is full


def test_note_with_full_partition_uses_dedicated_engine():
    """Guards against refusal of a note while the engine dedicated to chats is idle.

    All engines of the note's partition are full of requests that are at least as
    urgent.
    """
    note = make_route(
        'note',
        RequestKind.STREAM,
        shares=(ServiceShare('pool', 1.0),),
        target_ms=400,
        gap_target_ms=400,
        tier=1,
    )
    gateway = make_gateway(deployment=make_deployment(routes=(note,)))
    engines = sorted(
        gateway.parts.roster.usable('pool'), key=lambda each: each.partition_key
    )
    dedicated = engines[-1].entry.endpoint
    full_load = EngineLoad(40, 2, 64, 4_000, streams=(RunningStream(CHAT, 9),) * 64)
    gateway.attempts.loads = {
        each.entry.endpoint: full_load
        for each in engines
        if each.entry.endpoint != dedicated
    }

    _, caller = gateway.start(
        '/note/1', method='POST', prompt=make_prompt('p', 570, 1_800)
    )

    assert caller.refusal is None
    assert gateway.last_attempt.endpoint == dedicated


def test_shortages_are_sent_with_probes():
    origin = MemberUpdate(MemberAddress('i1', 1, 'kerala', 'hall', '127.0.0.1', 1, 2))
    ping = Ping(7, origin, 3, shortages=(TierShortage('pool', 1, 2.5),))
    keys = PeerKeys(PeerKey(1, b'k' * 16))
    frame = PeerCodec('i1', 1, keys).encode('i2', ping)

    assert PeerCodec('i2', 1, keys).decode(frame).message == ping
