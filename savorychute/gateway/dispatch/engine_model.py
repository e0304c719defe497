"""Predictions of the behaviour of one kind of engine, learned from observations."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.running_estimate import RunningMean, RunningQuantile

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements

# Values assumed before engines were observed.  They describe engines that prefill 61
# tokens per ms and emit events of three tokens.
PRIOR_TOKENS_PER_MS = 60.0
# Gap between two events of a stream while the engine prefills continuously, and while
# it prefills nothing.
PRIOR_PREFILL_GAP_MS = 300.0
PRIOR_DECODE_GAP_MS = 30.0
PRIOR_EVENTS_PER_ANSWER = 20.0
PRIOR_FRESH_TOKENS = 4_000.0
# Time besides the prefill: network and start-up of a request at the engine.
PRIOR_OVERHEAD_MS = 90.0
# About the last 100 gaps or answers count.
QUANTILE_STEP = 0.04
MEAN_WEIGHT = 0.02
FRESH_WEIGHT = 0.03
# The prefill rate is learned from prompts of at least this size; for smaller ones the
# overhead dominates.
MIN_PREFILL_TOKENS = 1_000
# Share of time that an engine spends on prefill while requests wait for a slot.
FULL_PREFILL_SHARE = 0.85
# Events with a shorter gap arrived in one piece of the body.
MIN_GAP_MS = 5
# Other work of an engine makes a prefill slower, never faster, so the faster ones show
# its rate.
RATE_QUANTILE = 0.75
# For the same reason the shorter overheads show its value.
OVERHEAD_QUANTILE = 0.3
PREFILL_GAP_QUANTILE = 0.9
DECODE_GAP_QUANTILE = 0.5
# A stream misses its gap target beside long prompts if the target is below this
# multiple of the gap during prefill.
ISOLATION_FACTOR = 1.2
# Streams with a larger gap target have long prompts themselves and would delay the
# isolated streams.
MAX_ISOLATION_GAP_MS = 350


class EngineEstimates(NamedTuple):
    """Learned estimates, for logs and metrics.

    ``reading_gap_ms`` is the gap between two events of a stream during prefill,
    ``rest_gap_ms`` the gap while nothing is prefilled.  ``events`` is the number of events
    of an answer.
    """

    tokens_per_ms: float
    reading_gap_ms: float
    rest_gap_ms: float
    fresh_tokens: float
    overhead_ms: float
    events: float


class EngineModel:
    """Running estimates on which predictions are based.

    Engines of different users differ: 12 slots or 64, 60 tokens per ms or 94, events of
    three tokens or seven.  With the estimates of one kind applied to another, engines
    with 12 slots were considered full at two thirds of them, and the wrong streams were
    isolated.  The structure of the model is given by how engines work: they run in
    steps, some of which also prefill a chunk of a prompt.  Only the values are learned.
    """

    def __init__(self) -> None:
        self._prefill_rate = RunningQuantile(
            PRIOR_TOKENS_PER_MS, RATE_QUANTILE, QUANTILE_STEP
        )
        self._overhead = RunningQuantile(
            PRIOR_OVERHEAD_MS, OVERHEAD_QUANTILE, QUANTILE_STEP
        )
        self._prefill_gap = RunningQuantile(
            PRIOR_PREFILL_GAP_MS, PREFILL_GAP_QUANTILE, QUANTILE_STEP
        )
        self._decode_gap = RunningQuantile(
            PRIOR_DECODE_GAP_MS, DECODE_GAP_QUANTILE, QUANTILE_STEP
        )
        self._events = RunningMean(PRIOR_EVENTS_PER_ANSWER, MEAN_WEIGHT)
        self._fresh_tokens = RunningMean(PRIOR_FRESH_TOKENS, FRESH_WEIGHT)

    # -- observations

    def record_sent(self, fresh_tokens: int, isolated: bool) -> None:
        """Record the expected prefill of a request.

        :param fresh_tokens: tokens that are not cached at the engine.
        :param isolated: whether it is a stream that is kept away from long prompts.
        """
        if not isolated:
            self._fresh_tokens.add(fresh_tokens)

    def record_first_event(self, fresh_tokens: int, duration_ms: float) -> None:
        """Record the time that an idle engine took to start an answer.

        :param fresh_tokens: expected tokens to prefill.
        :param duration_ms: time from the send to the first event.
        """
        if fresh_tokens < MIN_PREFILL_TOKENS:
            self._overhead.add(duration_ms)
            return
        prefill_ms = max(1.0, duration_ms - self._overhead.value)
        rate = fresh_tokens / prefill_ms
        self._prefill_rate.add(rate)

    def record_gap(self, gap_ms: float, isolated: bool, prefilling: bool) -> None:
        """Record the gap between two events.

        :param gap_ms: the gap.
        :param isolated: whether the stream is kept away from long prompts.
        :param prefilling: whether prompts were waiting at its engine, so that each step
            prefilled a chunk.  Gaps at other times depend on how much was prefilled and
            do not show the gap during prefill.
        """
        if gap_ms < MIN_GAP_MS:
            return
        if prefilling:
            self._prefill_gap.add(gap_ms)
        elif isolated:
            self._decode_gap.add(gap_ms)

    def record_answer(self, events: int, isolated: bool) -> None:
        """Record a complete answer.

        :param events: its number of events.
        :param isolated: whether the stream is kept away from long prompts.
        """
        if not isolated:
            self._events.add(events)

    # -- predictions

    def estimates(self) -> EngineEstimates:
        """Return all estimates."""
        return EngineEstimates(
            self._prefill_rate.value,
            self._prefill_gap.value,
            self._decode_gap.value,
            self._fresh_tokens.value,
            self._overhead.value,
            self._events.value,
        )

    @property
    def mean_fresh_tokens(self) -> float:
        """Mean number of tokens that a request has to prefill."""
        return self._fresh_tokens.value

    @property
    def overhead_ms(self) -> float:
        """Time besides the prefill until the first event."""
        return self._overhead.value

    @property
    def events_per_answer(self) -> float:
        """Mean number of events of an answer."""
        return self._events.value

    def prefill_ms(self, tokens: float) -> float:
        """Return how long an engine takes to prefill some tokens."""
        return tokens / self._prefill_rate.value

    def needs_isolation(self, requirements: RequestRequirements) -> bool:
        """Return whether a stream would miss its gap target beside prefills.

        :param requirements: requirements of the request.
        """
        max_gap_ms = min(
            ISOLATION_FACTOR * self._prefill_gap.value, MAX_ISOLATION_GAP_MS
        )
        return 0 < requirements.gap_target_ms <= max_gap_ms

    def event_ms(self, prefill_share: float) -> float:
        """Return the mean time between events.

        :param prefill_share: share of time that the engine prefills, from 0 to 1.
        """
        rate = prefill_share / self._prefill_gap.value
        rate += (1.0 - prefill_share) / self._decode_gap.value
        return 1.0 / rate

    @property
    def prefill_gap_ms(self) -> float:
        """Gap between two events while the engine prefills."""
        return self._prefill_gap.value

    def answer_ms(self, prefill_share: float) -> float:
        """Return how long an answer occupies its slot beside prefills."""
        return self._events.value * self.event_ms(prefill_share)

    def slot_wait_ms(self, requests: int, slots: int) -> float:
        """Return how long the last of some requests waits for a slot.

        :param requests: requests at an engine, including the one in question.
        :param slots: number of requests that the engine runs concurrently.
        """
        ms_per_slot = self.answer_ms(FULL_PREFILL_SHARE) / slots
        return max(0, requests - slots) * ms_per_slot
