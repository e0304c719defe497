"""What engines of one kind do with requests, learned from what they show."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.running_estimate import RunningMean, RunningQuantile

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.need import Need

# What is assumed before engines have shown it; all are figures of the engines seen first,
# which read 61 tokens in a ms and make an event of three tokens.
PRIOR_TOKENS_PER_MS = 60.0
# A pause between two events while the engine reads chunks all the time, and at rest.
PRIOR_READING_GAP_MS = 300.0
PRIOR_REST_GAP_MS = 30.0
PRIOR_EVENTS = 20.0
PRIOR_FRESH_TOKENS = 4_000.0
# Before a request's prompt is read and after it: network and the engine's own start.
PRIOR_OVERHEAD_MS = 90.0
# About the last hundred gaps, or answers, count.
QUANTILE_STEP = 0.04
MEAN_WEIGHT = 0.02
FRESH_WEIGHT = 0.03
# The reading rate is learned from prompts of this size; in smaller ones the overhead hides
# it.
LEAST_READ_TOKENS = 1_000
# Part of the time that an engine reads prompts while requests wait for a place in it.
FULL_READING_SHARE = 0.85
# Gaps below this are events that came in one piece of the body.
LEAST_GAP_MS = 5
# Whatever else an engine has to do makes a reading slower, never quicker; the quicker ones
# show its rate.
RATE_QUANTILE = 0.75
# The same for what comes besides the reading: the shorter ones show it.
OVERHEAD_QUANTILE = 0.3
READING_QUANTILE = 0.9
REST_QUANTILE = 0.5
# A stream whose bound is less than this many times the pause beside reading is late
# beside long prompts.
APART_FACTOR = 1.2
# Streams with a wider bound bring long prompts themselves, and would make late those that
# are kept apart.
WIDEST_APART_MS = 350


class EngineFigures(NamedTuple):
    """What a model has learned, for logs and metrics."""

    tokens_per_ms: float
    reading_gap_ms: float
    rest_gap_ms: float
    fresh_tokens: float
    overhead_ms: float
    events: float


class EngineModel:
    """Running estimates that predictions are made of.

    Engines of different users differ: 12 places or 64, 60 tokens a ms or 94, events of
    three tokens or seven.  Figures of one kind, used for another, called engines with 12
    places full when two thirds of them were taken, and told the wrong streams to keep
    apart.  The engine's pages give the shape: steps, of which some also read a chunk; only
    the figures are learned.
    """

    def __init__(self) -> None:
        self._rate = RunningQuantile(PRIOR_TOKENS_PER_MS, RATE_QUANTILE, QUANTILE_STEP)
        self._overhead = RunningQuantile(
            PRIOR_OVERHEAD_MS, OVERHEAD_QUANTILE, QUANTILE_STEP
        )
        self._reading_gap = RunningQuantile(
            PRIOR_READING_GAP_MS, READING_QUANTILE, QUANTILE_STEP
        )
        self._rest_gap = RunningQuantile(
            PRIOR_REST_GAP_MS, REST_QUANTILE, QUANTILE_STEP
        )
        self._events = RunningMean(PRIOR_EVENTS, MEAN_WEIGHT)
        self._fresh = RunningMean(PRIOR_FRESH_TOKENS, FRESH_WEIGHT)

    # -- what engines show

    def note_sent(self, fresh_tokens: int, apart: bool) -> None:
        """Take in what a request is expected to have read anew.

        :param fresh_tokens: the tokens.
        :param apart: whether it is a stream that runs away from long prompts.
        """
        if not apart:
            self._fresh.add(fresh_tokens)

    def note_first_event(self, fresh_tokens: int, duration_ms: int) -> None:
        """Take in how long an idle engine took to begin an answer.

        :param fresh_tokens: what it was expected to read.
        :param duration_ms: from the send to the first event.
        """
        if fresh_tokens < LEAST_READ_TOKENS:
            self._overhead.add(duration_ms)
            return
        reading_ms = max(1.0, duration_ms - self._overhead.value)
        rate = fresh_tokens / reading_ms
        self._rate.add(rate)

    def note_gap(self, gap_ms: int, apart: bool, reading: bool) -> None:
        """Take in a pause between two events.

        :param gap_ms: the pause.
        :param apart: whether the stream ran away from long prompts.
        :param reading: whether prompts were waiting at its engine, so that every step
            read a chunk.  Pauses at other times say how much was read, not how long a
            pause beside reading is.
        """
        if gap_ms < LEAST_GAP_MS:
            return
        if reading:
            self._reading_gap.add(gap_ms)
        elif apart:
            self._rest_gap.add(gap_ms)

    def note_answer(self, events: int, apart: bool) -> None:
        """Take in a whole answer.

        :param events: how many it had.
        :param apart: whether the stream ran away from long prompts.
        """
        if not apart:
            self._events.add(events)

    # -- what follows

    def figures(self) -> EngineFigures:
        """Return all estimates."""
        return EngineFigures(
            self._rate.value,
            self._reading_gap.value,
            self._rest_gap.value,
            self._fresh.value,
            self._overhead.value,
            self._events.value,
        )

    @property
    def usual_tokens(self) -> float:
        """What a request usually has to have read anew."""
        return self._fresh.value

    def reading_ms(self, tokens: float) -> float:
        """Return how long an engine reads some tokens."""
        return tokens / self._rate.value

    def needs_apart(self, need: Need) -> bool:
        """Return whether a stream would be late beside prompts that are being read.

        :param need: of the request.
        """
        bound_ms = min(APART_FACTOR * self._reading_gap.value, WIDEST_APART_MS)
        return 0 < need.gap_target_ms <= bound_ms

    def event_ms(self, reading_share: float) -> float:
        """Return the time of one event while an engine reads part of the time.

        :param reading_share: that part, from 0 to 1.
        """
        rate = reading_share / self._reading_gap.value
        rate += (1.0 - reading_share) / self._rest_gap.value
        return 1.0 / rate

    def answer_ms(self, reading_share: float) -> float:
        """Return how long an answer beside long prompts keeps its place."""
        return self._events.value * self.event_ms(reading_share)

    def place_wait_ms(self, taken: int, places: int) -> float:
        """Return how long the last of some requests waits for a place.

        :param taken: requests at an engine, with the one in question.
        :param places: how many it runs at once.
        """
        turn_ms = self.answer_ms(FULL_READING_SHARE) / places
        return max(0, taken - places) * turn_ms
