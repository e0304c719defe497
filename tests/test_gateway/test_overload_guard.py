"""Tests of refusals under overload."""

from __future__ import annotations

import random

import pytest
from gateway_fakes import make_entry, make_gateway, make_prompt

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.dispatch.rank_limits import LIMITS, RankLimits
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

RANKS = tuple(range(10))


def admits(rank, occupied=0, wait_ms=100.0, load_known=True, waiting=0):
    record = EndpointRecord(make_entry('e0', 'pool', slots=64))
    record.apply_report(EngineLoad(waiting, 0, occupied, 5_000), 1_000)
    requirements = RequestRequirements(make_prompt(), 1_000, target_ms=1_500, rank=rank)
    choice = Choice(record, 4_000, wait_ms, wait_ms, load_known)
    return OverloadGuard(random.Random(1)).admits(choice, requirements, 1_000)


@pytest.mark.parametrize('rank', RANKS)
def test_engine_with_free_slots_admits_every_rank(rank):
    assert admits(rank, occupied=20)


@pytest.mark.parametrize('waiting', [0, 4, 7, 20, 80])
@pytest.mark.parametrize('taken', range(0, 140, 10))
@pytest.mark.parametrize('wait_ms', [100, 1_400, 1_700, 4_000, 9_000])
def test_no_rank_is_refused_where_a_lower_one_is_admitted(taken, wait_ms, waiting):
    """Guards against a diagnosis that is refused while a summary is admitted.

    With the same report, a rank must be admitted wherever a lower tier is.
    """
    admitted_by_rank = [admits(rank, taken, wait_ms, waiting=waiting) for rank in RANKS]

    assert admitted_by_rank == sorted(admitted_by_rank, reverse=True)


def test_unknown_load_refuses_nothing():
    assert admits(2, occupied=200, load_known=False)


def test_refused_request_has_not_run_and_can_be_retried():
    """Checks the refusal of a request while all engines report long queues.

    The request is refused at once, it is not sent to any engine, and the caller is told
    when to retry.
    """
    gateway = make_gateway()
    for record in gateway.parts.roster:
        record.apply_report(EngineLoad(120, 4, 40, 9_000), gateway.clock.now_ms())

    _, caller = gateway.start('/draft/1', prompt=make_prompt())

    assert not gateway.attempts.sent
    assert caller.refusal.code is ResultCode.OVERLOADED
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms > 0


@pytest.mark.parametrize('own', [100, 4_000, 50_000, 200_000])
def test_prompt_size_does_not_cause_refusal(own):
    """Guards against refusal of the largest summaries.

    Under load the prefill of 200,000 tokens takes three seconds.  If it counted as a
    wait, the largest prompts would be refused while all others are served.
    """
    gateway = make_gateway()
    for record in gateway.parts.roster:
        record.apply_report(EngineLoad(4, 0, 20, 9_000), gateway.clock.now_ms())

    _, caller = gateway.start('/draft/1', prompt=make_prompt(own=own))

    assert caller.refusal is None


def test_engine_with_few_slots_is_fully_used():
    """Guards against refusals under light load, one in 22.

    Engines run 12 requests concurrently.  By the share of slots in use they were
    considered full at seven, although a dozen streams do not slow them.
    """
    record = EndpointRecord(make_entry('e0', 'pool', slots=12))
    record.apply_report(EngineLoad(0, 1, 11, 5_000), 1_000)
    requirements = RequestRequirements(make_prompt(), 600, target_ms=1_200, rank=8)
    choice = Choice(record, 4_000, 200.0, 200.0, load_known=True)

    assert OverloadGuard(random.Random(1)).admits(choice, requirements, 1_000)


def test_full_engine_with_few_slots_refuses_lowest_rank():
    record = EndpointRecord(make_entry('e0', 'pool', slots=12))
    record.apply_report(EngineLoad(3, 1, 11, 5_000), 1_000)
    requirements = RequestRequirements(make_prompt(), 600, target_ms=1_200, rank=8)
    choice = Choice(record, 4_000, 200.0, 200.0, load_known=True)

    assert not OverloadGuard(random.Random(1)).admits(choice, requirements, 1_000)


@pytest.mark.parametrize('wait_ms', [300.0, 600.0, 900.0, 2_000.0])
def test_short_objective_does_not_refuse_before_a_lower_rank(wait_ms):
    """Guards against notes that are refused while summaries are admitted.

    After a power failure all callers retry at once.  The objective of a note is 400 ms,
    that of a summary 1,200.  With a wait of half a second the note was refused and the
    summary, three ranks below it, was sent.
    """
    record = EndpointRecord(make_entry('e0', 'pool', slots=64))
    record.apply_report(EngineLoad(3, 1, 10, 5_000), 1_000)
    choice = Choice(record, 4_000, wait_ms, wait_ms, load_known=True)
    guard = OverloadGuard(random.Random(1))
    summary = RequestRequirements(make_prompt(), 600, target_ms=1_200, rank=6)
    note = RequestRequirements(make_prompt(), 250, target_ms=400, rank=3)

    summary_admitted = guard.admits(choice, summary, 1_000)

    assert guard.admits(choice, note, 1_000) or not summary_admitted


@pytest.mark.parametrize('tier', [0, 1])
@pytest.mark.parametrize('limit', RankLimits._fields)
def test_lower_tier_is_refused_before_any_of_the_tier_above(tier, limit):
    """Guards against a summary admitted while a diagnosis is refused.

    Refusals are random.  If the ramp of a tier started below the end of the ramp of the
    tier beneath it, some urgent requests would be refused while less urgent ones are
    admitted.
    """
    above = [getattr(each, limit) for each in LIMITS[3 * tier : 3 * tier + 3]]
    below = [getattr(each, limit) for each in LIMITS[3 * tier + 3 : 3 * tier + 6]]

    assert min(ramp.start for ramp in above) >= max(ramp.end for ramp in below)


@pytest.mark.parametrize('rank', [6, 7, 8])
def test_first_request_of_a_rank_is_not_refused_without_objective(rank):
    """Guards against summaries refused at the start of a day.

    An instance that had only received diagnoses knew no objective of summaries.  It
    considered any wait longer than that objective, recorded that all summaries were to
    be refused, and refused the first ones although the engines were idle.
    """
    record = EndpointRecord(make_entry('e0', 'pool', slots=64))
    record.apply_report(EngineLoad(0, 0, 3, 0), 1_000)
    choice = Choice(record, 400, 20.0, 20.0, load_known=True)
    diagnosis = RequestRequirements(make_prompt(), 250, target_ms=1_500, rank=1)
    other = RequestRequirements(make_prompt(), 1_000, target_ms=2_500, rank=6)
    summary = RequestRequirements(make_prompt(), 1_000, target_ms=2_500, rank=rank)
    admitted = []
    for seed in range(20):
        guard = OverloadGuard(random.Random(seed))
        for before in (diagnosis, diagnosis, other, diagnosis):
            guard.admits(choice, before, 1_000)
        admitted.append(guard.admits(choice, summary, 1_000))

    assert all(admitted)
