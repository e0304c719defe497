"""Tests of the weights by which requests that leave their partition draw an engine."""

from __future__ import annotations

import random

import pytest
from gateway_fakes import START_MS, make_entry

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.overflow_weights import OverflowWeights
from savorychute.gateway.dispatch.partition_demand import PartitionDemand
from savorychute.gateway.dispatch.wait_forecast import WaitForecast
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream

SLOTS = 64
CHAT_RANK, NOTE_RANK, SUMMARY_RANK = 1, 4, 7


@pytest.fixture
def weights():
    forecast = WaitForecast('hall', random.Random(1), EngineModels())
    return OverflowWeights(forecast, PartitionDemand())


def make_engine(waiting=0, **streams):
    """Return an engine with waiting prompts, and streams by kind."""
    ranks = {'chats': CHAT_RANK, 'notes': NOTE_RANK, 'summaries': SUMMARY_RANK}
    running = tuple(
        RunningStream(ranks[kind], 20)
        for kind, count in streams.items()
        for _ in range(count)
    )
    record = EndpointRecord(make_entry('e0', 'pool', slots=SLOTS))
    load = EngineLoad(waiting, 0, len(running), 3_000 * (waiting > 0), streams=running)
    record.apply_report(load, START_MS)
    return record


def weigh_for_stream(weights, *engines):
    return weights.for_stream(engines, CHAT_RANK, START_MS)


def weigh_for_prompt(weights, *engines, wait_ms=0.0):
    choices = [
        Choice(each, 2_000, wait_ms, wait_ms, rank=NOTE_RANK) for each in engines
    ]
    return weights.for_prompt(choices, START_MS)


def test_stream_prefers_an_engine_of_streams_to_one_that_prefills(weights):
    """Guards against streams that hold their slots for long beside prompts.

    Streams that exceeded their partition were drawn to the engines with the fewest
    streams, which are those that prefill.
    """
    streams, prompts = make_engine(chats=45), make_engine(waiting=8, summaries=10)

    of_streams, of_prompts = weigh_for_stream(weights, streams, prompts)

    assert of_streams > 2 * of_prompts


def test_stream_prefers_an_engine_with_few_streams_and_nothing_to_prefill(weights):
    """Guards against late events at a congested engine while another is idle."""
    of_congested, of_idle = weigh_for_stream(
        weights, make_engine(chats=45), make_engine(chats=5)
    )

    assert not of_congested
    assert of_idle


def test_stream_preempts_nothing_while_a_slot_is_unused(weights):
    """Guards against notes that are preempted and prefilled again.

    Slots of less urgent streams were counted as free.
    """
    with_notes, with_slot = weigh_for_stream(
        weights, make_engine(chats=44, notes=20), make_engine(chats=62)
    )

    assert not with_notes
    assert with_slot


def test_stream_has_no_weights_if_it_would_preempt_everywhere(weights):
    full = make_engine(chats=44, notes=20)

    assert weigh_for_stream(weights, full, full) == [0.0, 0.0]


def test_stream_counts_what_was_sent_since_the_report(weights):
    engine = make_engine(chats=40)
    before = weigh_for_stream(weights, engine)
    for number in range(4):
        engine.start_attempt(number, 500, START_MS, rank=CHAT_RANK)

    assert weigh_for_stream(weights, engine) < before


def test_prompt_prefers_an_engine_with_few_urgent_streams(weights):
    """Guards against prompts that slow many streams down while few would be."""
    beside_many, beside_few = weigh_for_prompt(
        weights, make_engine(chats=50), make_engine(chats=10)
    )

    assert beside_few > 2 * beside_many


def test_streams_that_are_not_more_urgent_do_not_keep_a_prompt_away(weights):
    beside_notes, beside_summaries, alone = weigh_for_prompt(
        weights, make_engine(notes=30), make_engine(summaries=30), make_engine()
    )

    assert beside_notes == beside_summaries == alone


def test_prompt_joins_streams_if_the_wait_elsewhere_is_long(weights):
    """Guards against notes that wait in vain beside engines that prefill nothing."""
    (beside_streams,) = weigh_for_prompt(weights, make_engine(chats=45))
    (behind_prompts,) = weigh_for_prompt(weights, make_engine(), wait_ms=1_500.0)

    assert beside_streams > behind_prompts


def test_prompt_needs_a_slot(weights):
    assert weigh_for_prompt(weights, make_engine(chats=SLOTS)) == [0.0]
