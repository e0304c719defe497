"""Tests of the policies that choose an endpoint."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gateway_fakes import IDLE, make_entry, make_prompt

from savorychute.gateway.dispatch import load_choosers
from savorychute.gateway.dispatch.chooser import CHOOSERS, available_records
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream

LONG_GAP_MS = 1_000
SENSITIVE_GAP_MS = 250
CHAT_RANK, NOTE_RANK, SUMMARY_RANK = 1, 4, 7


@pytest.fixture
def engines():
    return [EndpointRecord(make_entry(f'e{n}', 'pool', slots=64)) for n in range(9)]


def make_chooser(name='prompt-cache', seed=3):
    load_choosers()
    return CHOOSERS.get(name)('hall', random.Random(seed))


def choose_names(chooser, engines, requirements, count=1):
    names = []
    for number in range(count):
        names.append(
            chooser.choose(engines, requirements, 1_000 + number).record.entry.endpoint
        )
    return names


def test_instances_send_a_shared_prompt_to_one_engine(engines):
    """Guards against a shared prompt that every engine prefills.

    Eight instances serve requests on one pump's history.  Without coordination they
    must choose the same engine, or 13,000 tokens are prefilled eight times.
    """
    requirements = RequestRequirements(make_prompt('pump-7'), LONG_GAP_MS)

    chosen = {
        name
        for seed in range(8)
        for name in choose_names(make_chooser(seed=seed), engines, requirements, 3)
    }

    assert len(chosen) == 1


def choose_for_prompts(chooser, engines, start_ms):
    """Choose for 90 prompts; return how often each engine was chosen."""
    names = Counter()
    for number in range(90):
        requirements = RequestRequirements(make_prompt(f'p{number}'), LONG_GAP_MS)
        choice = chooser.choose(engines, requirements, start_ms + number)
        names[choice.record.entry.endpoint] += 1
    return names


def test_prompts_spread_over_all_engines_without_sensitive_streams(engines):
    chooser = make_chooser()
    choose_for_prompts(chooser, engines, 1_000)

    assert len(choose_for_prompts(chooser, engines, 100_000)) == 9


def test_engines_are_partitioned_before_first_sensitive_stream(engines):
    """Guards against prompts that are prefilled twice at the start of a day.

    The first long prompts go to any engine.  When the first latency-sensitive streams
    arrive, some of these engines are dedicated to them and the prompts get other homes.
    """
    chooser = make_chooser()
    before = set(choose_for_prompts(chooser, engines, 1_000))
    short = make_prompt('s', shared=350, own=1_100, answer=170)
    sensitive = set(
        choose_names(chooser, engines, RequestRequirements(short, SENSITIVE_GAP_MS), 20)
    )

    assert not sensitive & before


def test_sensitive_streams_are_isolated_from_long_prompts(engines):
    """Guards against diagnoses with long gaps.

    A prompt of 17,000 tokens is prefilled in chunks of 100 ms each, and every event of
    a stream beside it waits for three of them, longer than its gap target of 250 ms.
    """
    chooser = make_chooser()
    sensitive, others = set(), set()
    for number in range(60):
        long_requirements = RequestRequirements(
            make_prompt(f'p{number % 20}'), LONG_GAP_MS
        )
        short = make_prompt(f's{number % 20}', shared=350, own=1_100, answer=170)
        others.update(choose_names(chooser, engines, long_requirements))
        sensitive.update(
            choose_names(chooser, engines, RequestRequirements(short, SENSITIVE_GAP_MS))
        )
        if number == 5:
            sensitive.clear()
            others.clear()

    assert sensitive
    assert not sensitive & others


def test_sensitive_streams_leave_a_congested_partition(engines):
    """Guards against late events of diagnoses in a burst.

    Three times as many diagnoses arrive as their partition was sized for.  First events
    are in time, so no engine seems slow, but 64 streams share each engine, their events
    are late, and more urgent streams preempt others.
    """
    chooser = make_chooser()
    short = make_prompt('s', shared=350, own=1_100, answer=170)
    requirements = RequestRequirements(short, SENSITIVE_GAP_MS)
    partition = set(choose_names(chooser, engines, requirements, 20))
    for engine in engines:
        is_congested = engine.entry.endpoint in partition
        engine.apply_report(EngineLoad(0, 0, 50 if is_congested else 10, 0), 1_000)

    assert not partition & set(choose_names(chooser, engines, requirements, 20))


@pytest.mark.parametrize('waiting, leaves', [(60, True), (6, False)])
def test_full_home_is_left_for_next_idle_engine(engines, waiting, leaves):
    """Instances leave a full home for the same engine, and do not leave a busy one."""
    requirements = RequestRequirements(make_prompt('pump-7'), LONG_GAP_MS)
    home = make_chooser().choose(engines, requirements, 1_000).record
    for engine in engines:
        engine.apply_report(IDLE, 1_000)
    home.apply_report(EngineLoad(waiting, 4, 20, 17_000), 1_000)

    chosen = {
        name
        for seed in range(8)
        for name in choose_names(make_chooser(seed=seed), engines, requirements)
    }

    assert len(chosen) == 1
    assert (home.entry.endpoint not in chosen) is leaves


def test_full_home_is_not_left_for_another_busy_engine(engines):
    """Guards against an overload that amplifies itself.

    All engines are busy, and prompts move to slightly less busy ones.  Each is
    prefilled anew there, 17,000 tokens instead of 4,000, until all engines only
    prefill.
    """
    requirements = RequestRequirements(make_prompt('pump-7'), LONG_GAP_MS)
    home = make_chooser().choose(engines, requirements, 1_000).record
    for engine in engines:
        engine.apply_report(EngineLoad(6, 2, 30, 17_000), 1_000)
    home.apply_report(EngineLoad(60, 4, 30, 17_000), 1_000)

    assert choose_names(make_chooser(), engines, requirements) == [home.entry.endpoint]


def test_endpoint_that_fails_more_than_others_is_avoided():
    """Guards against a gray failure: a healthy probe, but four of ten requests fail.

    One request in seven fails at any endpoint for reasons of its own; such failures
    must not block an endpoint.
    """
    records = [EndpointRecord(make_entry(f'd{number}')) for number in range(3)]
    for _ in range(40):
        for record in records:
            record.health.record_success(1_000)
        records[0].health.record_failure(1_000)

    chooser = make_chooser('least-outstanding')
    chosen = Counter(choose_names(chooser, records, RequestRequirements(), 100))

    assert chosen['d0'] < 5


def test_blocked_endpoints_are_used_when_no_other_is_left():
    records = [EndpointRecord(make_entry(f'd{number}')) for number in range(2)]
    records[0].health.record_unresponsive(1_000)
    assert available_records(records, frozenset(), 1_001) == [records[1]]
    records[1].health.record_unresponsive(1_000)

    assert available_records(records, frozenset(), 1_001) == records


def test_one_congested_engine_is_enough_to_leave_partition(engines):
    """Guards against a partition that is not left while partly unknown.

    Each instance knows only the load of the engines that it queried recently.  If it
    left its partition only when all engines there were known to be congested, it would
    hardly ever leave.
    """
    chooser = make_chooser()
    short = make_prompt('s', shared=350, own=1_100, answer=170)
    requirements = RequestRequirements(short, SENSITIVE_GAP_MS)
    for number in range(40):
        sensitive = make_prompt(f's{number}', shared=350, own=1_100, answer=170)
        chooser.choose(engines, RequestRequirements(sensitive, SENSITIVE_GAP_MS), 1_000)
    home = chooser.choose(engines, requirements, 1_000).record
    home.apply_report(EngineLoad(0, 0, 60, 0), 1_000)

    chosen = chooser.choose(engines, requirements, 1_001).record

    assert chosen is not home


def test_sensitive_streams_of_one_prompt_use_whole_partition(engines):
    """Guards against streams that wait for a slot while another engine has ten free.

    With homes, all diagnoses about one pump went to the same engine of the partition
    until a report, half a second late, showed that it was full: 32 streams there, two
    on the next engine.
    """
    requirements = RequestRequirements(
        make_prompt('pump-7', shared=350, own=1_100), SENSITIVE_GAP_MS
    )
    chooser = make_chooser()
    for record in engines:
        record.apply_report(IDLE, 1_000)

    names = Counter(choose_names(chooser, engines, requirements, 40))

    partition = len(names)
    assert partition >= 1
    assert max(names.values()) <= 40 / partition * 2.5


def split_partitions(engines):
    """Return the engines for latency-sensitive streams, and the others."""
    chooser = make_chooser()
    prompts = RequestRequirements(make_prompt('', 0), LONG_GAP_MS)
    others = set(choose_names(chooser, engines, prompts, 60))
    dedicated = [each for each in engines if each.entry.endpoint not in others]
    return dedicated, [each for each in engines if each not in dedicated]


def fill(engines, rank, streams):
    for engine in engines:
        load = EngineLoad(
            0, 0, streams, 0, streams=(RunningStream(rank, 20),) * streams
        )
        engine.apply_report(load, 1_000)


@pytest.mark.parametrize(('streams', 'leaves'), [(30, False), (50, True)])
def test_small_prompt_above_the_last_tier_leaves_a_nearly_full_partition(
    engines, streams, leaves
):
    """Guards against notes abandoned at engines whose last slots chats take.

    Chats that exceed their own engines use the others too.  Notes were sent there by
    reports of some free slots, although the engines of chats had more.
    """
    dedicated, others = split_partitions(engines)
    fill(dedicated, CHAT_RANK, 20)
    fill(others, CHAT_RANK, streams)
    note = RequestRequirements(make_prompt('note', 500), LONG_GAP_MS, rank=NOTE_RANK)

    names = set(choose_names(make_chooser(), engines, note, 40))

    assert bool(names & {each.entry.endpoint for each in dedicated}) is leaves


@pytest.mark.parametrize(
    'requirements',
    [
        RequestRequirements(make_prompt('note', 500), LONG_GAP_MS, rank=SUMMARY_RANK),
        RequestRequirements(make_prompt('note', 5_000), LONG_GAP_MS, rank=NOTE_RANK),
    ],
)
def test_last_tier_and_large_shared_prompts_stay_in_their_partition(
    engines, requirements
):
    dedicated, others = split_partitions(engines)
    fill(dedicated, CHAT_RANK, 20)
    fill(others, CHAT_RANK, 50)

    names = set(choose_names(make_chooser(), engines, requirements, 40))

    assert not names & {each.entry.endpoint for each in dedicated}


def test_full_engine_gets_no_sensitive_stream_while_another_has_headroom(engines):
    requirements = RequestRequirements(
        make_prompt('pump-7', shared=350, own=1_100), SENSITIVE_GAP_MS
    )
    chooser = make_chooser()
    full = set(choose_names(chooser, engines, requirements, 40))
    for record in engines:
        taken = 60 if record.entry.endpoint in full else 0
        record.apply_report(EngineLoad(0, 0, taken, 0), 1_000)

    assert not set(choose_names(chooser, engines, requirements, 40)) & full
