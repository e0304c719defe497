"""The endpoint with the least predicted time to first token."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

from savorychute.routing.prediction import predict_best, predict_first_token_ms
from savorychute.routing.router import ROUTERS
from savorychute.routing.routing_choice import RoutingChoice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.routing.endpoint_book import EndpointBook
    from savorychute.routing.endpoint_state import EndpointState
    from savorychute.routing.routing_request import RoutingRequest
    from savorychute.routing.routing_settings import RoutingSettings

#: Below this multiple of the peers' median a measured step time is noise.
SLOW_RATIO = 1.5


@ROUTERS.register('predicted')
class PredictedRouter:
    """Scores candidates by predicted time to first token and slow decoding.

    :param settings: the weights.
    :param book: what is known of the endpoints.
    :param rng: samples candidates and draws what is uncertain of reports, so
        that instances with the same reports do not all choose the same endpoint.
    """

    def __init__(
        self, settings: RoutingSettings, book: EndpointBook, rng: random.Random
    ) -> None:
        self._settings = settings
        self._book = book
        self._rng = rng

    def choose(
        self, request: RoutingRequest, candidates: Sequence[str], now_ms: int
    ) -> RoutingChoice | None:
        """Return the candidate with the least score."""
        best: EndpointState | None = None
        best_score_ms = 0.0
        best_uncached = 0.0
        for name in self._sample(candidates):
            state = self._book.state_of(name)
            uncached: float = request.prompt_tokens
            if request.prefix_hashes:
                uncached = state.uncached_tokens(
                    request.prompt_tokens, request.prefix_hashes, now_ms
                )
            score_ms = self._score_ms(state, uncached, request.expected_tokens, now_ms)
            if best is None or score_ms < best_score_ms:
                best = state
                best_score_ms = score_ms
                best_uncached = uncached
        if best is None:
            return None
        step_ms = best.estimate_step_ms(now_ms)
        predicted_ms = predict_first_token_ms(best, best_uncached, step_ms, now_ms)
        return RoutingChoice(best.document['endpoint'], predicted_ms, 'least predicted')

    def _score_ms(
        self,
        state: EndpointState,
        uncached_tokens: float,
        expected_tokens: int,
        now_ms: int,
    ) -> float:
        """Return a predicted time to first token that is safe to minimise.

        The best prediction by itself makes all instances choose the endpoint
        that one report shows to be idle.  So the others' load is drawn from
        what is believed of it, own requests, which no one else knows of, weigh
        more, and a taken place counts a little though no one waits yet,
        because it will be missed when more requests come.
        """
        settings = self._settings
        median_ms, _, own_weight = state.group.summary(now_ms)
        step_ms = state.measured_step_ms(now_ms)
        is_slow = step_ms > SLOW_RATIO * median_ms
        if not is_slow:
            step_ms = median_ms
        holding_ms = state.holding_ms(step_ms)
        others, variance = state.estimate_others(holding_ms, now_ms)
        if not is_slow:
            doubt = settings.doubt_weight * sqrt(variance)
            others += doubt * self._rng.gauss(0.0, 1.0)
        own = len(state.attempts)
        places = settings.congestion_weight * (own_weight * own + others)
        excess = own + others + 1 - state.capacity
        if excess > 0:
            places += excess
        score_ms = state.round_trip_ms + places * holding_ms / state.capacity
        if state.is_service:
            return score_ms + state.service_ms
        tokens = uncached_tokens + state.backlog_tokens
        score_ms += step_ms * (1 + tokens / state.group.prefill_tokens_per_step)
        if is_slow:
            # A straggler with no queue would win by first token alone, and then
            # miss the target between tokens for the whole answer.
            excess_ms = step_ms - median_ms
            score_ms += settings.slow_decode_weight * expected_tokens * excess_ms
        return score_ms

    def _sample(self, candidates: Sequence[str]) -> Sequence[str]:
        sampled = self._settings.sampled
        if not sampled or sampled >= len(candidates):
            return candidates
        return self._rng.sample(candidates, sampled)

    def predict(
        self,
        pool: str,  # noqa: ARG002
        candidates: Sequence[str],
        prompt_tokens: int,
        now_ms: int,
    ) -> float | None:
        """Return the best predicted time to first token, in ms."""
        return predict_best(self._book, candidates, prompt_tokens, now_ms)
