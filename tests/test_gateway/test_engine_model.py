"""Tests of the engine model, for two different kinds of engines."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from savorychute.gateway.dispatch.engine_model import EngineModel
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.request_requirements import RequestRequirements

REQUESTS = 400
OVERHEAD_MS = 90


class EngineKind(NamedTuple):
    """Behaviour of engines of one kind."""

    tokens_per_ms: float
    reading_gap_ms: float
    rest_gap_ms: float
    events: int


# A kind with fast prefill and events of seven tokens, and one with slow prefill and
# events of three.
FAST = EngineKind(94.0, 250.0, 45.0, 7)
SLOW = EngineKind(60.0, 300.0, 25.0, 40)


def observe_requests(model, kind, requests=REQUESTS, seed=1):
    """Let a model observe some requests at engines of a kind."""
    rng = random.Random(seed)
    for _ in range(requests):
        tokens = rng.randint(1_500, 6_000)
        model.record_sent(tokens, isolated=False)
        # Other streams make some prefills slower than the engine's maximum rate.
        slowdown = rng.choice((1.0, 1.0, 1.3, 2.0))
        duration_ms = OVERHEAD_MS + slowdown * tokens / kind.tokens_per_ms
        model.record_first_event(tokens, round(duration_ms))
        model.record_first_event(200, OVERHEAD_MS)
        for _ in range(kind.events - 1):
            gap_ms = round(kind.reading_gap_ms * rng.uniform(0.4, 1.02))
            model.record_gap(gap_ms, isolated=False, prefilling=True)
            rest_gap_ms = round(kind.rest_gap_ms * rng.uniform(0.8, 1.2))
            model.record_gap(rest_gap_ms, isolated=True, prefilling=False)
        model.record_answer(kind.events, isolated=False)


@pytest.mark.parametrize('kind', [FAST, SLOW], ids=['quick', 'slow'])
def test_initial_estimates_are_corrected_within_400_requests(kind):
    """Guards against engines that are considered full too early.

    The initial estimates are those of another kind of engine.  An instance with two
    requests per second corrects them within about three minutes, one with ten within
    40 s.
    """
    model = EngineModel()
    observe_requests(model, kind)
    estimates = model.estimates()

    assert estimates.tokens_per_ms == pytest.approx(kind.tokens_per_ms, rel=0.25)
    assert estimates.reading_gap_ms == pytest.approx(kind.reading_gap_ms, rel=0.15)
    assert estimates.rest_gap_ms == pytest.approx(kind.rest_gap_ms, rel=0.2)
    assert estimates.events == pytest.approx(kind.events, rel=0.1)


def test_streams_that_tolerate_prefill_gaps_are_not_isolated():
    """Guards against summaries refused while a dedicated engine serves few notes.

    Notes tolerate gaps of 350 ms, and the gaps at their engines during prefill are 250
    ms.  Isolated together with chats that tolerate 200 ms, they used up the few slots
    there.
    """
    model = EngineModel()
    observe_requests(model, FAST)

    assert model.needs_isolation(RequestRequirements(gap_target_ms=200))
    assert not model.needs_isolation(RequestRequirements(gap_target_ms=340))
    assert not model.needs_isolation(RequestRequirements(gap_target_ms=0))


def test_initial_estimates_apply_before_observations():
    model = EngineModel()

    assert model.needs_isolation(RequestRequirements(gap_target_ms=300))
    assert not model.needs_isolation(RequestRequirements(gap_target_ms=400))


def test_gaps_without_queue_do_not_change_reading_gap():
    """Guards against streams that lose their isolation under light load.

    Gaps are short while little is prefilled.  If they counted as gaps during prefill,
    no stream would seem to need isolation.
    """
    model = EngineModel()
    before = model.estimates().reading_gap_ms
    for _ in range(5_000):
        model.record_gap(30, isolated=False, prefilling=False)

    assert model.estimates().reading_gap_ms == before


def test_one_frozen_engine_hardly_changes_estimates():
    model = EngineModel()
    observe_requests(model, FAST)
    before = model.estimates()
    model.record_first_event(3_000, 60_000)
    model.record_gap(60_000, isolated=False, prefilling=True)
    after = model.estimates()

    assert after.tokens_per_ms == pytest.approx(before.tokens_per_ms, rel=0.05)
    assert after.reading_gap_ms == pytest.approx(before.reading_gap_ms, rel=0.05)


def test_requests_beyond_slots_wait():
    """Guards against a most urgent stream sent to an engine without a free slot.

    All 12 slots were in use and no prefill was waiting, so the predicted wait was that
    of the prefill, none.
    """
    model = EngineModel()

    assert model.slot_wait_ms(12, 12) == 0
    assert model.slot_wait_ms(13, 12) > 0
    assert model.slot_wait_ms(16, 12) == pytest.approx(4 * model.slot_wait_ms(13, 12))


def test_services_have_separate_models():
    models = EngineModels()
    observe_requests(models.for_service('quick'), FAST)

    assert models.for_service('slow').estimates() == EngineModel().estimates()
    assert set(models.estimates()) == {'quick', 'slow'}
