"""Tests of how an endpoint is chosen."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gateway_fakes import IDLE, make_entry, make_prompt

from savorychute.gateway.dispatch import load_choosers
from savorychute.gateway.dispatch.chooser import CHOOSERS, open_records
from savorychute.gateway.dispatch.need import Need
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad

LONG_GAP_MS = 1_000
STEADY_GAP_MS = 250


@pytest.fixture
def engines():
    return [EndpointRecord(make_entry(f'e{n}', 'pool', slots=64)) for n in range(9)]


def make_chooser(name='prompt-cache', seed=3):
    load_choosers()
    return CHOOSERS.get(name)('hall', random.Random(seed))


def choose_names(chooser, engines, need, count=1):
    names = []
    for number in range(count):
        names.append(
            chooser.choose(engines, need, 1_000 + number).record.entry.endpoint
        )
    return names


def test_instances_send_a_shared_prompt_to_one_engine(engines):
    """A prompt that every engine read.

    Eight instances serve requests on one pump's history.  Without a word between them
    they must choose the same engine, or 13,000 tokens are read eight times.
    """
    need = Need(make_prompt('pump-7'), LONG_GAP_MS)

    chosen = {
        name
        for seed in range(8)
        for name in choose_names(make_chooser(seed=seed), engines, need, 3)
    }

    assert len(chosen) == 1


def choose_spread(chooser, engines, begin_ms):
    """Choose for ninety prompts; return how often each engine was chosen."""
    names = Counter()
    for number in range(90):
        need = Need(make_prompt(f'p{number}'), LONG_GAP_MS)
        choice = chooser.choose(engines, need, begin_ms + number)
        names[choice.record.entry.endpoint] += 1
    return names


def test_different_prompts_spread_over_all_engines_where_no_stream_is_steady(engines):
    chooser = make_chooser()
    choose_spread(chooser, engines, 1_000)

    assert len(choose_spread(chooser, engines, 100_000)) == 9


def test_lanes_are_there_before_the_first_steady_stream(engines):
    """Prompts that were read twice at the begin of a day.

    The first long prompts go to any engine.  When the first steady streams come, some of
    these engines are theirs, and the prompts get other homes.
    """
    chooser = make_chooser()
    before = set(choose_spread(chooser, engines, 1_000))
    short = make_prompt('s', shared=350, own=1_100, answer=170)
    steady = set(choose_names(chooser, engines, Need(short, STEADY_GAP_MS), 20))

    assert not steady & before


def test_streams_that_must_not_pause_are_kept_from_long_prompts(engines):
    """A diagnosis that stuttered.

    A prompt of 17,000 tokens is read in chunks of 100 ms each, and every event of a
    stream beside it waits for three of them, beyond its bound of 250 ms.
    """
    chooser = make_chooser()
    steady, others = set(), set()
    for number in range(60):
        long_need = Need(make_prompt(f'p{number % 20}'), LONG_GAP_MS)
        short = make_prompt(f's{number % 20}', shared=350, own=1_100, answer=170)
        others.update(choose_names(chooser, engines, long_need))
        steady.update(choose_names(chooser, engines, Need(short, STEADY_GAP_MS)))
        if number == 5:
            steady.clear()
            others.clear()

    assert steady
    assert not steady & others


def test_steady_streams_leave_a_crowded_lane(engines):
    """Diagnoses that stuttered in a burst.

    Three times as many come as their lane was made for.  First events come in time, so
    nothing looks slow, but 64 streams share each engine, their events are late, and
    more urgent ones put back the others.
    """
    chooser = make_chooser()
    short = make_prompt('s', shared=350, own=1_100, answer=170)
    need = Need(short, STEADY_GAP_MS)
    lane = set(choose_names(chooser, engines, need, 20))
    for engine in engines:
        crowded = engine.entry.endpoint in lane
        engine.report(EngineLoad(0, 0, 50 if crowded else 10, 0), 1_000)

    assert not lane & set(choose_names(chooser, engines, need, 20))


@pytest.mark.parametrize('waiting, leaves', [(60, True), (6, False)])
def test_full_home_is_left_for_the_next_idle_one(engines, waiting, leaves):
    """Instances leave a full home for the same engine, and a busy one not at all."""
    need = Need(make_prompt('pump-7'), LONG_GAP_MS)
    home = make_chooser().choose(engines, need, 1_000).record
    for engine in engines:
        engine.report(IDLE, 1_000)
    home.report(EngineLoad(waiting, 4, 20, 17_000), 1_000)

    chosen = {
        name
        for seed in range(8)
        for name in choose_names(make_chooser(seed=seed), engines, need)
    }

    assert len(chosen) == 1
    assert (home.entry.endpoint not in chosen) is leaves


def test_full_home_is_not_left_for_another_busy_engine(engines):
    """An overload that fed itself.

    Everybody is busy, and prompts wander to whoever is a little less so.  Each is read
    anew there, 17,000 tokens instead of 4,000, until all engines only read.
    """
    need = Need(make_prompt('pump-7'), LONG_GAP_MS)
    home = make_chooser().choose(engines, need, 1_000).record
    for engine in engines:
        engine.report(EngineLoad(6, 2, 30, 17_000), 1_000)
    home.report(EngineLoad(60, 4, 30, 17_000), 1_000)

    assert choose_names(make_chooser(), engines, need) == [home.entry.endpoint]


def test_failing_endpoint_is_avoided_by_comparison_with_the_others():
    """A grey server.

    Its liveness check is good, and it fails four of ten requests.  One request in
    seven fails at any endpoint by its own fault; that must block nobody.
    """
    records = [EndpointRecord(make_entry(f'd{number}')) for number in range(3)]
    for _ in range(40):
        for record in records:
            record.health.succeeded(1_000)
        records[0].health.failed(1_000)

    chooser = make_chooser('least-outstanding')
    chosen = Counter(choose_names(chooser, records, Need(), 100))

    assert chosen['d0'] < 5


def test_blocked_endpoints_are_used_when_no_other_is_left():
    records = [EndpointRecord(make_entry(f'd{number}')) for number in range(2)]
    records[0].health.silent(1_000)
    assert open_records(records, frozenset(), 1_001) == [records[1]]
    records[1].health.silent(1_000)

    assert open_records(records, frozenset(), 1_001) == records


def test_one_crowded_engine_is_enough_to_leave_the_lane(engines):
    """A lane of which an instance knew only a part.

    Each instance knows the load of the engines that it asked lately.  If it left its lane
    only when it knew every engine of it to be crowded, it would hardly ever leave.
    """
    chooser = make_chooser()
    short = make_prompt('s', shared=350, own=1_100, answer=170)
    need = Need(short, STEADY_GAP_MS)
    for number in range(40):
        steady = make_prompt(f's{number}', shared=350, own=1_100, answer=170)
        chooser.choose(engines, Need(steady, STEADY_GAP_MS), 1_000)
    home = chooser.choose(engines, need, 1_000).record
    home.report(EngineLoad(0, 0, 60, 0), 1_000)

    chosen = chooser.choose(engines, need, 1_001).record

    assert chosen is not home


def test_steady_streams_of_one_prompt_use_all_of_their_lane(engines):
    """Urgent streams that waited for a place while the engine beside had ten.

    A burst of diagnoses about one pump comes.  By its home each went to the same engine of
    the lane until a report, half a second late, said that it was full: 32 streams there,
    two on the next.
    """
    need = Need(make_prompt('pump-7', shared=350, own=1_100), STEADY_GAP_MS)
    chooser = make_chooser()
    for record in engines:
        record.report(IDLE, 1_000)

    names = Counter(choose_names(chooser, engines, need, 40))

    lane = len(names)
    assert lane >= 1
    assert max(names.values()) <= 40 / lane * 2.5


def test_full_engine_gets_no_steady_stream_while_another_has_room(engines):
    need = Need(make_prompt('pump-7', shared=350, own=1_100), STEADY_GAP_MS)
    chooser = make_chooser()
    full = set(choose_names(chooser, engines, need, 40))
    for record in engines:
        taken = 60 if record.entry.endpoint in full else 0
        record.report(EngineLoad(0, 0, taken, 0), 1_000)

    assert not set(choose_names(chooser, engines, need, 40)) & full
