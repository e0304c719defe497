"""Tests of refusals under load."""

from __future__ import annotations

import random

import pytest
from gateway_fakes import make_entry, make_gateway, make_prompt

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.need import Need
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.dispatch.rank_limits import LIMITS, RankLimits
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

RANKS = tuple(range(10))


def admits(rank, taken=0, wait_ms=100.0, known=True, waiting=0):
    record = EndpointRecord(make_entry('e0', 'pool', slots=64))
    record.report(EngineLoad(waiting, 0, taken, 5_000), 1_000)
    need = Need(make_prompt(), 1_000, target_ms=1_500, rank=rank)
    choice = Choice(record, 4_000, wait_ms, wait_ms, known)
    return OverloadGuard(random.Random(1)).admits(choice, need, 1_000)


@pytest.mark.parametrize('rank', RANKS)
def test_engine_with_free_places_takes_every_rank(rank):
    assert admits(rank, taken=20)


@pytest.mark.parametrize('waiting', [0, 4, 7, 20, 80])
@pytest.mark.parametrize('taken', range(0, 140, 10))
@pytest.mark.parametrize('wait_ms', [100, 1_400, 1_700, 4_000, 9_000])
def test_no_rank_is_refused_where_a_lower_one_is_taken(taken, wait_ms, waiting):
    """A diagnosis that was refused for a summary.

    With one report in hand, the answer for a rank must be at least that for each tier
    below it.
    """
    taken_by_rank = [admits(rank, taken, wait_ms, waiting=waiting) for rank in RANKS]

    assert taken_by_rank == sorted(taken_by_rank, reverse=True)


def test_unknown_load_refuses_nothing():
    assert admits(2, taken=200, known=False)


def test_refused_request_has_not_run_and_may_come_back():
    """A refusal while every engine is full.

    The engines report long queues; the request is refused at once, it reached none of
    them, and the caller is told when to come back.
    """
    scene = make_gateway()
    for record in scene.parts.roster:
        record.report(EngineLoad(120, 4, 40, 9_000), scene.clock.now_ms())

    _, caller = scene.start('/draft/1', prompt=make_prompt())

    assert not scene.attempts.sent
    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms > 0


@pytest.mark.parametrize('own', [100, 4_000, 50_000, 200_000])
def test_size_of_a_prompt_decides_no_refusal(own):
    """The largest summaries that were never made.

    Under load a prompt of 200,000 tokens takes three seconds to read.  If that counted as
    waiting, the largest would be refused while all others are served.
    """
    scene = make_gateway()
    for record in scene.parts.roster:
        record.report(EngineLoad(4, 0, 20, 9_000), scene.clock.now_ms())

    _, caller = scene.start('/draft/1', prompt=make_prompt(own=own))

    assert caller.refusal is None


def test_engine_with_few_places_is_used_as_far_as_it_goes():
    """Refusals on a calm day, one in 22.

    Engines run 12 requests at once.  By a share of their places they were called full at
    seven, although a dozen streams slow none of them.
    """
    record = EndpointRecord(make_entry('e0', 'pool', slots=12))
    record.report(EngineLoad(0, 1, 11, 5_000), 1_000)
    need = Need(make_prompt(), 600, target_ms=1_200, rank=8)
    choice = Choice(record, 4_000, 200.0, 200.0, load_known=True)

    assert OverloadGuard(random.Random(1)).admits(choice, need, 1_000)


def test_full_engine_with_few_places_takes_no_more_of_the_lowest_rank():
    record = EndpointRecord(make_entry('e0', 'pool', slots=12))
    record.report(EngineLoad(3, 1, 11, 5_000), 1_000)
    need = Need(make_prompt(), 600, target_ms=1_200, rank=8)
    choice = Choice(record, 4_000, 200.0, 200.0, load_known=True)

    assert not OverloadGuard(random.Random(1)).admits(choice, need, 1_000)


@pytest.mark.parametrize('wait_ms', [300.0, 600.0, 900.0, 2_000.0])
def test_short_objective_is_no_reason_to_refuse_before_a_lower_rank(wait_ms):
    """Notes that were refused while summaries were taken.

    After a loss of power all callers come at once.  A note wants its first words within
    400 ms, a summary within 1,200; with half a second to wait the note was refused and
    the summary, three ranks below it, sent.
    """
    record = EndpointRecord(make_entry('e0', 'pool', slots=64))
    record.report(EngineLoad(3, 1, 10, 5_000), 1_000)
    choice = Choice(record, 4_000, wait_ms, wait_ms, load_known=True)
    guard = OverloadGuard(random.Random(1))
    summary = Need(make_prompt(), 600, target_ms=1_200, rank=6)
    note = Need(make_prompt(), 250, target_ms=400, rank=3)

    summary_taken = guard.admits(choice, summary, 1_000)

    assert guard.admits(choice, note, 1_000) or not summary_taken


@pytest.mark.parametrize('tier', [0, 1])
@pytest.mark.parametrize('limit', RankLimits._fields)
def test_a_lower_tier_is_turned_away_before_any_of_the_one_above(tier, limit):
    """A summary that was taken while a diagnosis beside it was refused.

    Refusals are drawn.  If a tier's ramp began below the end of the one beneath it, chance
    would sometimes refuse the urgent request and take the other.
    """
    above = [getattr(each, limit) for each in LIMITS[3 * tier : 3 * tier + 3]]
    below = [getattr(each, limit) for each in LIMITS[3 * tier + 3 : 3 * tier + 6]]

    assert min(ramp.first for ramp in above) >= max(ramp.last for ramp in below)


@pytest.mark.parametrize('rank', [6, 7, 8])
def test_first_request_of_a_rank_is_not_refused_for_want_of_its_objective(rank):
    """Summaries that were refused at the begin of a day.

    An instance that had seen diagnoses alone knew no objective of summaries.  It took any
    wait for longer than that, remembered that all summaries were to be refused, and turned
    away the first ones that came, while the engines were idle.
    """
    record = EndpointRecord(make_entry('e0', 'pool', slots=64))
    record.report(EngineLoad(0, 0, 3, 0), 1_000)
    choice = Choice(record, 400, 20.0, 20.0, load_known=True)
    diagnosis = Need(make_prompt(), 250, target_ms=1_500, rank=1)
    other = Need(make_prompt(), 1_000, target_ms=2_500, rank=6)
    summary = Need(make_prompt(), 1_000, target_ms=2_500, rank=rank)
    taken = []
    for seed in range(20):
        guard = OverloadGuard(random.Random(seed))
        for before in (diagnosis, diagnosis, other, diagnosis):
            guard.admits(choice, before, 1_000)
        taken.append(guard.admits(choice, summary, 1_000))

    assert all(taken)
