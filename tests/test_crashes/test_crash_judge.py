"""Tests of what accuses, clears and convicts."""

from __future__ import annotations

import pytest
from crash_court import Court, part

from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.crashes.crash_evidence import EPISODE_MS, NOVELTY_MS
from savorychute.crashes.lost_request import MAX_REPORTED_PARTS
from savorychute.crashes.verdict import CERTAIN_DELAY_MS, UNCERTAIN_DELAY_MS

FREE = CrashDecisionKind.FREE
CONFINED = CrashDecisionKind.CONFINED
REFUSED = CrashDecisionKind.REFUSED
TRIAL = CrashDecisionKind.TRIAL


def test_part_of_three_crashes_is_convicted(court):
    """Guards against requests with a common part that crash engine after engine."""
    court.succeed(court.request('5a0'))
    for _ in range(3):
        assert court.decide(court.request('5a0', 'bad')).kind is not REFUSED
        court.crash(court.request('5a0', 'bad'), court.request('5a0', 'd1'))
        court.succeed(court.request('5a0', 'd1'))
    assert court.verdict().key.traits == (part('bad'),)
    assert court.decide(court.request('5a0', 'bad')).kind is REFUSED
    assert court.decide(court.request('5a0', 'd1')).kind is FREE


def test_part_that_all_prompts_begin_with_is_not_convicted(court):
    """Guards against a stop of a whole route while two other parts crash engines."""
    court.succeed(court.request('5a0'))
    for number in range(6):
        bad = f'bad{number % 2}'
        court.crash(court.request('5a0', bad), court.request('5a0', f'd{number}'))
    assert court.decide(court.request('5a0', 'd9')).kind is not REFUSED
    assert court.decide(court.request('5a0', 'bad0')).kind is REFUSED
    assert court.decide(court.request('5a0', 'bad1')).kind is REFUSED


def test_success_between_crashes_clears_a_part(court):
    for _ in range(10):
        court.crash(court.request('5a0'))
        court.succeed(court.request('5a0'))
    assert court.verdict() is None
    assert court.decide(court.request('5a0')).kind is FREE


def test_popular_part_needs_more_crashes_than_a_new_one(court):
    """Guards against a verdict on a popular part for three crashes in a row."""
    court.succeed(court.request('5a0'))
    for _ in range(4):
        court.crash(court.request('5a0', 'd1'), court.request('5a0', 'd2'))
        court.crash(court.request('5a0', 'd3'), after_ms=0)
        court.succeed(court.request('d1'))
        court.succeed(court.request('d2'))
        court.succeed(court.request('d3'))
    assert court.decide(court.request('5a0')).kind is FREE


def test_popular_part_that_begins_to_crash_engines_is_convicted(court):
    """Guards against a part that is trusted for ever."""
    court.succeed(court.request('5a0'))
    for _ in range(5):
        court.crash(court.request('5a0'), court.request('5a1'))
        court.succeed(court.request('5a1'))
    assert court.verdict().key.traits == (part('5a0'),)


def test_loss_of_several_endpoints_at_once_is_one_episode(court):
    """Guards against a verdict on a new part when a rack loses power."""
    for _ in range(6):
        court.crash(court.request('new'), after_ms=EPISODE_MS // 10)
    assert court.verdict() is None


def test_same_request_is_refused_after_three_crashes(court):
    """Guards against a request without parts that crashes endpoints."""
    for _ in range(3):
        court.crash(court.request(name='poison'), court.request())
    assert court.decide(court.request(name='poison')).kind is REFUSED
    assert court.decide(court.request()).kind is FREE


def test_sound_request_whose_retries_met_crashes_is_not_refused(court):
    """Guards against a verdict on the company of a bad part."""
    unlucky = court.request('5a0', name='unlucky')
    for _ in range(4):
        court.crash(court.request('bad'), unlucky)
        court.succeed(court.request('5a0'))
    assert court.decide(court.request('bad')).kind is REFUSED
    assert court.decide(unlucky).kind is not REFUSED


def test_part_that_is_always_beside_the_bad_one_is_refused_only_with_it(court):
    """Guards against a verdict that is broader than its evidence."""
    for _ in range(3):
        court.crash(court.request('5a0', 'rare', 'bad'), court.request('5a0'))
    assert court.verdict().key.traits == tuple(
        sorted(map(part, ('5a0', 'rare', 'bad')))
    )
    assert court.decide(court.request('5a0', 'rare')).kind is CONFINED


def test_success_narrows_a_verdict(court):
    for _ in range(3):
        court.crash(court.request('rare', 'bad'))
    court.succeed(court.request('rare'))
    assert court.verdict().key.traits == (part('bad'),)
    assert court.decide(court.request('bad', 'other')).kind is REFUSED
    assert court.decide(court.request('rare', 'other')).kind is FREE


def test_parts_that_explain_the_same_crashes_wait_for_one_more(court):
    """Guards against a verdict on a sound part that was beside the bad one by chance."""
    for _ in range(3):
        court.crash(court.request('bad'), court.request('rare'))
    assert court.verdict() is None
    court.crash(court.request('bad'))
    assert court.verdict().key.traits == (part('bad'),)


def test_parts_that_always_crash_together_are_both_refused_in_the_end(court):
    for _ in range(5):
        court.crash(court.request('bad'), court.request('rare'))
    assert court.decide(court.request('bad')).kind is REFUSED


def test_judge_that_has_just_started_needs_more_crashes():
    """Guards against a verdict by an instance that has seen no success yet."""
    court = Court(now_ms=0)
    for _ in range(4):
        court.crash(court.request('5a0'), court.request('5a0'))
    assert court.verdict() is None


def test_judge_that_has_just_started_explains_a_common_part_away():
    """Guards against a stop of a route by those that do not know which parts succeed."""
    court = Court(now_ms=0)
    for number in range(10):
        bad = court.request('5a0', f'bad{number % 2}')
        court.crash(bad, court.request('5a0', f'd{number}'), after_ms=200)
        assert court.decide(court.request('5a0', 'd99')).kind is not REFUSED
    assert court.decide(court.request('5a0', 'bad0')).kind is REFUSED
    assert court.decide(court.request('5a0', 'bad1')).kind is REFUSED


def test_suspects_with_different_parts_run_at_different_endpoints(court):
    """Guards against innocent suspects that go down with the guilty one."""
    court.crash(court.request('bad'), *(court.request(f'd{n}') for n in range(20)))
    decisions = [court.decide(court.request(f'd{n}')) for n in range(20)]
    assert {each.kind for each in decisions} == {CONFINED}
    assert len({each.lane for each in decisions}) == 20
    lanes = {court.decide(court.request('bad')).lane for _ in range(5)}
    assert len(lanes) == 1


def test_part_that_succeeded_lately_is_not_confined(court):
    """Guards against a whole class at one endpoint after any crash."""
    court.succeed(court.request('5a0'))
    court.crash(court.request('5a0', 'bad'))
    assert court.decide(court.request('5a0')).kind is FREE
    court.now_ms += NOVELTY_MS + 1
    assert court.decide(court.request('5a0')).kind is CONFINED


def test_service_that_never_crashed_is_not_concerned(court):
    for _ in range(3):
        court.crash(court.request('bad'), service='other')
    assert court.decide(court.request('bad')).kind is FREE
    assert court.decide(court.request('bad'), service='other').kind is REFUSED


# -- trials


def convict(court, certain=True):
    if certain:
        court.succeed(court.request('5a0'))
    for _ in range(3):
        court.crash(court.request('bad'))
    return court.verdict()


def test_verdict_is_tried_with_one_request(court):
    """Guards against a part that is refused for ever, and against a rush of trials."""
    verdict = convict(court)
    assert verdict.certain
    court.now_ms += CERTAIN_DELAY_MS - 1
    assert court.decide(court.request('bad'), may_try=True).kind is REFUSED
    court.now_ms += 1
    assert court.decide(court.request('bad')).kind is REFUSED
    assert court.decide(court.request('bad'), may_try=True).kind is TRIAL
    assert court.decide(court.request('bad'), may_try=True).kind is REFUSED


def test_trial_that_succeeds_lifts_the_verdict(court):
    convict(court)
    court.now_ms += 2 * CERTAIN_DELAY_MS
    court.judge.expire(court.now_ms)
    tried = court.request('bad')
    assert court.decide(tried, may_try=True).kind is TRIAL
    court.succeed(tried)
    assert court.verdict() is None
    assert court.decide(court.request('bad')).kind is FREE


def test_trials_become_rarer(court):
    """Guards against an endpoint lost each hour."""
    convict(court)
    delays_ms = []
    for _ in range(4):
        due_ms = court.verdict().due_ms
        delays_ms.append(due_ms - court.now_ms)
        court.now_ms = due_ms
        tried = court.request('bad')
        assert court.decide(tried, may_try=True).kind is TRIAL
        court.crash(tried, after_ms=0)
    assert sum(delays_ms[:3]) + delays_ms[3] > 24 * CERTAIN_DELAY_MS
    assert delays_ms == sorted(delays_ms)


def test_only_the_examiner_tries(court):
    """Guards against a trial of each instance."""
    verdict = convict(court)
    court.judge.is_examiner = lambda _: False
    court.now_ms = verdict.due_ms
    assert court.decide(court.request('bad'), may_try=True).kind is REFUSED


def test_verdict_without_any_success_is_tried_soon(court):
    """Guards against a long refusal because a service was in trouble by itself."""
    court.now_ms += 60_000
    verdict = convict(court, certain=False)
    assert not verdict.certain
    assert verdict.due_ms - court.now_ms <= UNCERTAIN_DELAY_MS


def test_lifted_verdict_needs_new_crashes(court):
    verdict = convict(court)
    court.judge.lift(verdict.key, 'operator', court.now_ms)
    court.crash(court.request('bad'))
    court.crash(court.request('bad'))
    assert court.verdict() is None
    court.crash(court.request('bad'))
    assert court.verdict().key == verdict.key


def test_verdict_that_nobody_asks_for_expires(court):
    convict(court)
    court.now_ms += 3 * 24 * CERTAIN_DELAY_MS
    court.judge.expire(court.now_ms)
    assert court.verdict() is None


# -- odd parts, and bounds


@pytest.mark.parametrize('odd', ['', 'f' * 10_000, 'ABCDEF', ' ', '\x00é'])
def test_any_text_may_name_a_part(court, odd):
    for _ in range(3):
        court.crash(court.request('5a0', odd, odd))
        court.succeed(court.request('5a0'))
    assert court.decide(court.request(odd)).kind is REFUSED
    assert court.decide(court.request(odd.lower())).kind is REFUSED


def test_bad_part_among_hundreds_is_found(court):
    """Guards against a part that hides behind more parts than a report names."""
    for crash in range(60):
        others = [f'{crash}-{number}' for number in range(300)]
        court.crash(court.request(*others[:200], 'bad', *others[200:]))
        if court.verdict() is not None:
            break
    assert court.decide(court.request('bad')).kind is REFUSED
    assert MAX_REPORTED_PARTS < 300


def test_invented_parts_do_not_push_out_verdicts(court):
    """Guards against a caller that hides one part behind many others."""
    convict(court)
    for crash in range(600):
        parts = [f'{crash}-{number}' for number in range(40)]
        court.crash(*(court.request(*parts) for _ in range(20)))
        court.succeed(court.request('5a0'))
    assert court.decide(court.request('bad')).kind is REFUSED
    evidence = court.judge.evidence('pool')
    assert len(list(evidence.accused_traits())) < 5_000
