"""Tests of what is learned of engines, for two kinds that differ."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from savorychute.gateway.dispatch.engine_model import EngineModel
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.need import Need

REQUESTS = 400
OVERHEAD_MS = 90


class EngineKind(NamedTuple):
    """How engines of one kind behave."""

    tokens_per_ms: float
    reading_gap_ms: float
    rest_gap_ms: float
    events: int


# Reads quickly and makes events of seven tokens; reads slowly and makes events of three.
QUICK = EngineKind(94.0, 250.0, 45.0, 7)
SLOW = EngineKind(60.0, 300.0, 25.0, 40)


def show(model, kind, requests=REQUESTS, seed=1):
    """Let a model see what engines of a kind do with some requests."""
    rng = random.Random(seed)
    for _ in range(requests):
        tokens = rng.randint(1_500, 6_000)
        model.note_sent(tokens, apart=False)
        # Other streams make some readings slower than the engine's best.
        slower = rng.choice((1.0, 1.0, 1.3, 2.0))
        duration_ms = OVERHEAD_MS + slower * tokens / kind.tokens_per_ms
        model.note_first_event(tokens, round(duration_ms))
        model.note_first_event(200, OVERHEAD_MS)
        for _ in range(kind.events - 1):
            gap_ms = round(kind.reading_gap_ms * rng.uniform(0.4, 1.02))
            model.note_gap(gap_ms, apart=False, reading=True)
            rest_ms = round(kind.rest_gap_ms * rng.uniform(0.8, 1.2))
            model.note_gap(rest_ms, apart=True, reading=False)
        model.note_answer(kind.events, apart=False)


@pytest.mark.parametrize('kind', [QUICK, SLOW], ids=['quick', 'slow'])
def test_wrong_first_guess_is_left_within_some_hundred_requests(kind):
    """Engines that were called full long before they were.

    The first guess is that of another kind of engine; an instance with two requests a
    second leaves it within about three minutes, one with ten within 40 s.
    """
    model = EngineModel()
    show(model, kind)
    figures = model.figures()

    assert figures.tokens_per_ms == pytest.approx(kind.tokens_per_ms, rel=0.25)
    assert figures.reading_gap_ms == pytest.approx(kind.reading_gap_ms, rel=0.15)
    assert figures.rest_gap_ms == pytest.approx(kind.rest_gap_ms, rel=0.2)
    assert figures.events == pytest.approx(kind.events, rel=0.1)


def test_streams_that_can_stand_the_reading_are_not_kept_apart():
    """Refused summaries beside an engine that served a few short notes.

    Notes may pause for 350 ms and their engines, while they read, pause for 250; kept
    apart with the chatter that may pause for 200 they took its few places.
    """
    model = EngineModel()
    show(model, QUICK)

    assert model.needs_apart(Need(gap_target_ms=200))
    assert not model.needs_apart(Need(gap_target_ms=340))
    assert not model.needs_apart(Need(gap_target_ms=0))


def test_before_anything_is_seen_the_first_guess_holds():
    model = EngineModel()

    assert model.needs_apart(Need(gap_target_ms=300))
    assert not model.needs_apart(Need(gap_target_ms=400))


def test_pauses_without_a_queue_say_nothing_of_reading():
    """A stream that lost its quiet engine on a calm day.

    While little is read pauses are short; taken for pauses beside reading they said that
    every stream could stand it.
    """
    model = EngineModel()
    before = model.figures().reading_gap_ms
    for _ in range(5_000):
        model.note_gap(30, apart=False, reading=False)

    assert model.figures().reading_gap_ms == before


def test_one_frozen_engine_moves_no_estimate_far():
    model = EngineModel()
    show(model, QUICK)
    before = model.figures()
    model.note_first_event(3_000, 60_000)
    model.note_gap(60_000, apart=False, reading=True)
    after = model.figures()

    assert after.tokens_per_ms == pytest.approx(before.tokens_per_ms, rel=0.05)
    assert after.reading_gap_ms == pytest.approx(before.reading_gap_ms, rel=0.05)


def test_full_engine_with_few_places_makes_wait():
    """A most urgent stream that was sent to an engine without a free place.

    All 12 places were taken and nothing was waiting to be read, so its wait was thought to
    be that of the reading, none.
    """
    model = EngineModel()

    assert model.place_wait_ms(12, 12) == 0
    assert model.place_wait_ms(13, 12) > 0
    assert model.place_wait_ms(16, 12) == pytest.approx(4 * model.place_wait_ms(13, 12))


def test_services_do_not_share_what_their_engines_show():
    models = EngineModels()
    show(models.of('quick'), QUICK)

    assert models.of('slow').figures() == EngineModel().figures()
    assert set(models.figures()) == {'quick', 'slow'}
