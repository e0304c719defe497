"""Tests of what a request of a rank meets at an engine that serves by rank."""

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
    is_crowded,
    is_full_for,
    places_left,
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
# Two chats and ten summaries, of which one has just begun, and 20 prompts that wait.
BUSY = EngineLoad(
    waiting=20,
    reading=2,
    generating=12,
    next_tokens=4_000,
    streams=(RunningStream(CHAT, 9),) * 2
    + (RunningStream(SUMMARY, 9),) * 9
    + (RunningStream(SUMMARY, 1),),
)


def make_record(load, slots=64):
    record = EndpointRecord(make_entry('e0', 'pool', slots=slots))
    record.report(load, START_MS)
    return record


def test_prompts_that_wait_are_not_ahead_of_what_is_more_urgent():
    assert [BUSY.waiting_ahead(rank) for rank in (CHAT, NOTE, SUMMARY)] == [0, 0, 20]
    assert [BUSY.taken_ahead(rank) for rank in (CHAT, NOTE, SUMMARY)] == [4, 4, 34]


def test_all_that_waits_may_be_ahead_while_nothing_less_urgent_is_begun():
    notes = BUSY._replace(streams=(RunningStream(NOTE, 1),) * 12)

    assert notes.waiting_ahead(NOTE) == 20


def test_engine_that_does_not_tell_ranks_is_taken_as_a_queue_in_order():
    untold = BUSY._replace(streams=())

    assert untold.taken_ahead(CHAT) == 34


def test_wait_is_foreseen_by_rank():
    """A note that seemed to wait half a second and began after 0.2 s."""
    forecast = WaitForecast('hall', random.Random(1), EngineModels())
    record = make_record(BUSY)
    note_ms = forecast.wait_ms(record, NOTE, START_MS)
    summary_ms = forecast.wait_ms(record, SUMMARY, START_MS)

    assert summary_ms > 1_000
    assert note_ms < 300


def test_own_requests_that_are_less_urgent_do_not_count():
    record = make_record(EngineLoad(0, 0, 0, 0))
    record.begin(object(), 60_000, START_MS, rank=SUMMARY)

    assert record.unreported_tokens(NOTE) == 0
    assert record.unreported_tokens(SUMMARY) == 60_000


def test_request_that_has_begun_since_the_report_still_takes_a_place():
    """An engine that was filled by streams that began sooner than its report told."""
    record = make_record(EngineLoad(0, 0, 0, 0))
    stream = object()
    record.begin(stream, 700, START_MS, rank=CHAT)
    record.end_reading(stream)

    assert record.unreported(CHAT) == 1
    assert record.unreported_tokens(CHAT) == 0


def test_queue_of_summaries_crowds_no_engine_for_chats():
    """Chats that all went to one engine, since the others had summaries waiting."""
    record = make_record(BUSY)

    assert not is_crowded(record, CHAT, START_MS)
    assert is_crowded(record, SUMMARY, START_MS)


@pytest.mark.parametrize('instances, left', [(1, 59.0), (8, 52.0), (80, 0.0)])
def test_last_places_are_shared_with_the_other_instances(instances, left):
    record = make_record(BUSY)
    record.begin(object(), 700, START_MS, rank=CHAT)

    assert places_left(record, CHAT, START_MS, instances) == left


@pytest.mark.parametrize('rank, full', [(CHAT, False), (NOTE, False), (SUMMARY, True)])
def test_engine_is_full_for_those_that_cannot_pass(rank, full):
    assert is_full_for(make_record(BUSY, slots=12), rank, START_MS) is full


def test_note_whose_lane_is_full_is_sent_to_an_engine_kept_for_others():
    """A note that was refused while the engine kept for chats was nearly idle.

    All engines of the note's lane are full of what is at least as urgent.
    """
    note = make_route(
        'note',
        RequestKind.STREAM,
        shares=(ServiceShare('pool', 1.0),),
        target_ms=400,
        gap_target_ms=400,
        tier=1,
    )
    scene = make_gateway(deployment=make_deployment(routes=(note,)))
    engines = sorted(scene.parts.roster.usable('pool'), key=lambda each: each.lane_key)
    kept = engines[-1].entry.endpoint
    full = EngineLoad(40, 2, 64, 4_000, streams=(RunningStream(CHAT, 9),) * 64)
    scene.attempts.loads = {
        each.entry.endpoint: full for each in engines if each.entry.endpoint != kept
    }

    _, caller = scene.start(
        '/note/1', method='POST', prompt=make_prompt('p', 570, 1_800)
    )

    assert caller.refusal is None
    assert scene.last_attempt.endpoint == kept


def test_shortages_travel_with_probes():
    origin = MemberUpdate(MemberAddress('i1', 1, 'kerala', 'hall', '127.0.0.1', 1, 2))
    ping = Ping(7, origin, 3, shortages=(TierShortage('pool', 1, 2.5),))
    keys = PeerKeys(PeerKey(1, b'k' * 16))
    frame = PeerCodec('i1', 1, keys).encode('i2', ping)

    assert PeerCodec('i2', 1, keys).decode(frame).message == ping
