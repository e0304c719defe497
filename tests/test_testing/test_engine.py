"""Tests of the stand-in engine."""

from __future__ import annotations

from random import Random

import pytest

from savorychute.testing.answers import write_answer, write_tokens
from savorychute.testing.endpoint_down import EndpointDownError
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_events import (
    StreamAccepted,
    StreamBroken,
    StreamEnded,
    StreamRefused,
    StreamTokens,
)
from savorychute.testing.engine_request import EngineRequest
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.order_handler import EngineOrder

LONG_MS = 60_000


@pytest.fixture
def engine():
    return ModelEngine(EngineSettings(), Random(1))


def make_request(name, prompt='#tokens=20 water', **changes):
    request = EngineRequest(name, f's-{name}', 'model', prompt, 0)
    return request._replace(**changes)


def join_text(events, attempt_id):
    return ''.join(
        event.text
        for event in events
        if isinstance(event, StreamTokens) and event.attempt_id == attempt_id
    )


def list_ended(events):
    return [event.attempt_id for event in events if isinstance(event, StreamEnded)]


def test_answer_is_complete_and_depends_only_on_the_prompt(engine):
    events = engine.submit(make_request('a'), 0)
    events += engine.submit(make_request('b', '#tokens=9 oil'), 0)
    events += engine.advance(LONG_MS)
    assert join_text(events, 'a') == write_answer('#tokens=20 water', 0)
    assert join_text(events, 'b') == write_answer('#tokens=9 oil', 0)
    assert sorted(list_ended(events)) == ['a', 'b']
    assert engine.generated_tokens == 29


def test_step_time_grows_with_the_batch():
    settings = EngineSettings(step_ms=5, step_ms_per_stream=1, chunk_steps=1)
    engine = ModelEngine(settings, Random(1))
    engine.submit(make_request('a', '#tokens=100'), 0)
    engine.advance(50)
    alone_ms = engine.batch.step_ms
    engine.submit(make_request('b', '#tokens=100'), 50)
    engine.advance(60)
    assert (alone_ms, engine.batch.step_ms) == (6, 7)


def test_lower_priority_number_runs_first():
    engine = ModelEngine(EngineSettings(max_running=1), Random(1))
    engine.submit(make_request('first'), 0)
    engine.submit(make_request('late', priority=3), 0)
    engine.submit(make_request('urgent', priority=0), 0)
    assert list_ended(engine.advance(LONG_MS)) == ['first', 'urgent', 'late']


def test_closing_a_connection_frees_the_engine(engine):
    engine.submit(make_request('a', '#tokens=1000'), 0)
    engine.advance(100)
    engine.close('a', 100)
    assert engine.report(0, 100).running == 0
    assert 0 < engine.generated_tokens < 50


def test_kept_stream_resumes_without_generating_a_token_twice(engine):
    prompt = '#tokens=40 tap'
    events = engine.submit(make_request('a', prompt, keep_on_close=True), 0)
    events += engine.advance(100)
    received_text = join_text(events, 'a')
    offset = received_text.count(' ')
    engine.close('a', 100)
    resumed = engine.resume('s-a', 'b', offset, 500)
    resumed += engine.advance(LONG_MS)
    assert received_text + join_text(resumed, 'b') == write_answer(prompt, 0)
    assert engine.generated_tokens == 40


def test_only_an_interrupted_stream_resumes_if_that_is_requested(engine):
    engine.submit(make_request('a', '#tokens=40 tap', keep_on_close=True), 0)
    engine.advance(100)
    engine.close('a', 100)
    interrupted = engine.resume('s-a', 'b', 0, 200, only_if_interrupted=True)
    engine.close('b', 200)
    engine.cancel('s-a', True, 210)
    paused = engine.resume('s-a', 'c', 0, 300, only_if_interrupted=True)
    with_credit = engine.resume('s-a', 'd', 0, 400)
    engine.close('d', 500)
    interrupted_again = engine.resume('s-a', 'e', 0, 600, only_if_interrupted=True)

    assert StreamAccepted('b', 's-a') in interrupted
    assert paused == [StreamRefused('c', 429, False, 'paused', paused=True)]
    assert StreamAccepted('d', 's-a') in with_credit
    assert StreamAccepted('e', 's-a') in interrupted_again


def test_resume_takes_over_a_running_stream(engine):
    events = engine.submit(make_request('a', '#tokens=40 tap'), 0)
    events += engine.advance(60)
    resumed = engine.resume('s-a', 'b', 0, 60)
    assert StreamBroken('a', 's-a', 'taken over') in resumed
    resumed += engine.advance(LONG_MS)
    assert join_text(resumed, 'b') == write_answer('#tokens=40 tap', 0)


def test_finished_stream_is_resumable_for_a_while(engine):
    engine.submit(make_request('a', keep_on_close=True), 0)
    engine.advance(1_000)
    resumed = engine.resume('s-a', 'b', 3, 1_000)
    assert join_text(resumed, 'b') == write_tokens('', 0, 0) + ''.join(
        f' {token}' for token in write_answer('#tokens=20 water', 0).split()[3:]
    )
    assert isinstance(engine.resume('s-a', 'c', 0, 60_000)[-1], StreamRefused)


def test_answer_continues_after_given_text(engine):
    answer = write_answer('#tokens=20 water', 0)
    answer_start = ''.join(f' {token}' for token in answer.split()[:7])
    request = make_request('a', continue_offset=7, continue_text=answer_start)
    events = [*engine.submit(request, 0), *engine.advance(LONG_MS)]
    assert answer_start + join_text(events, 'a') == answer
    assert engine.generated_tokens == 13


def test_text_of_another_answer_is_not_continued(engine):
    request = make_request('a', continue_offset=1, continue_text=' other.0')
    events = [*engine.submit(request, 0), *engine.advance(LONG_MS)]
    assert (
        join_text(events, 'a').split()[0]
        != write_answer('#tokens=20 water', 0).split()[1]
    )


def test_poison_crashes_the_engine_and_all_its_streams(engine):
    engine.submit(make_request('bystander', '#tokens=1000'), 0)
    engine.submit(make_request('bad', '#poison #tokens=1000'), 0)
    events = engine.advance(LONG_MS)
    broken = {event.attempt_id for event in events if isinstance(event, StreamBroken)}
    assert broken == {'bystander', 'bad'}
    assert engine.poison_crashes == 1
    with pytest.raises(EndpointDownError):
        engine.submit(make_request('c'), LONG_MS)


def test_restarted_engine_answers_again(engine):
    engine.submit(make_request('a'), 0)
    engine.crash(20)
    engine.restart(500)
    events = [*engine.submit(make_request('b'), 500), *engine.advance(LONG_MS)]
    assert join_text(events, 'b') == write_answer('#tokens=20 water', 0)
    assert engine.report(0, LONG_MS).running == 0


def test_leaving_engine_refuses_and_runs_nothing(engine):
    engine.leaving = True
    assert engine.submit(make_request('a'), 0) == [
        StreamRefused('a', 503, True, 'leaving')
    ]
    assert engine.executions == {}


def test_unresponsive_engine_runs_requests_after_it_continues(engine):
    engine.set_unresponsive(True, 0)
    assert engine.submit(make_request('a'), 10) == []
    assert engine.advance(5_000) == []
    events = [*engine.set_unresponsive(False, 5_000), *engine.advance(LONG_MS)]
    assert list_ended(events) == ['a']


def test_straggler_takes_longer():
    end_times_ms = []
    for factor in (1, 5):
        engine = ModelEngine(EngineSettings(), Random(1))
        engine.set_slowdown(factor, 0)
        engine.submit(make_request('a'), 0)
        while engine.next_event_ms() is not None:
            last_ms = engine.next_event_ms()
            engine.advance(last_ms)
        end_times_ms.append(last_ms)
    assert end_times_ms[1] == pytest.approx(5 * end_times_ms[0], rel=0.01)


def test_report_is_delayed():
    engine = ModelEngine(EngineSettings(report_lag_ms=2_000), Random(1))
    engine.report(0, 0)
    engine.submit(make_request('a', '#tokens=4000'), 100)
    engine.report(0, 1_000)
    assert engine.report(0, 2_500).running == 0
    later_report = engine.report(0, 3_100)
    assert (later_report.running, later_report.age_ms) == (1, 2_100)


def test_old_fencing_number_is_refused_only_by_engines_that_check():
    outcomes = []
    for checks_fencing in (True, False):
        engine = ModelEngine(EngineSettings(checks_fencing=checks_fencing), Random(1))
        engine.order(EngineOrder('load', 'x', 7), 0)
        outcomes.append(engine.order(EngineOrder('unload', 'model', 3), 10))
    assert outcomes == ['fenced', 'done']


def test_cached_prefix_makes_the_first_token_earlier():
    engine = ModelEngine(EngineSettings(prefill_tokens_per_s=1_000), Random(1))
    prompt = 'p' * 4_096 + '#tokens=2'
    engine.submit(make_request('a', prompt), 0)
    engine.advance(10_000)
    engine.submit(make_request('b', prompt), 10_000)
    assert engine.batch.prefilled_tokens < 1_100
    report = engine.report(0, 20_000)
    assert len(report.cached) == 16
    assert not report.cache_gap


def test_lost_cache_events_show_as_a_gap():
    settings = EngineSettings(cache_gap_share=0.5, cache_lag_ms=0)
    engine = ModelEngine(settings, Random(1))
    engine.submit(make_request('a', 'p' * 8_192 + '#tokens=2'), 0)
    engine.advance(10_000)
    assert engine.report(0, 10_000).cache_gap


def test_full_memory_preempts_the_least_important_stream():
    engine = ModelEngine(EngineSettings(kv_tokens=120), Random(1))
    events = engine.submit(make_request('low', '#tokens=90', priority=4), 0)
    events += engine.submit(make_request('high', '#tokens=90'), 0)
    events += engine.advance(LONG_MS)
    assert list_ended(events) == ['high', 'low']
    assert join_text(events, 'low').count(' ') == 90
