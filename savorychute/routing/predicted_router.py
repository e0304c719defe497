"""The endpoint with the least predicted time to first token."""

from __future__ import annotations

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


@ROUTERS.register('predicted')
class PredictedRouter:
    """Scores candidates by predicted time to first token and slow decoding.

    :param settings: the weights.
    :param book: what is known of the endpoints.
    :param rng: samples candidates and breaks near ties, so that instances with
        the same reports do not all choose the same endpoint.
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
        best_predicted_ms = 0.0
        for name in self._sample(candidates):
            state = self._book.state_of(name)
            step_ms = state.estimate_step_ms(now_ms)
            uncached = state.uncached_tokens(
                request.prompt_tokens, request.prefix_hashes, now_ms
            )
            predicted_ms = predict_first_token_ms(state, uncached, step_ms)
            score_ms = predicted_ms + self._slow_decode_ms(
                state, step_ms, request.expected_tokens, now_ms
            )
            score_ms *= 1 + self._settings.near_share * self._rng.random()
            if best is None or score_ms < best_score_ms:
                best = state
                best_score_ms = score_ms
                best_predicted_ms = predicted_ms
        if best is None:
            return None
        return RoutingChoice(
            best.document['endpoint'], best_predicted_ms, 'least predicted'
        )

    def _sample(self, candidates: Sequence[str]) -> Sequence[str]:
        sampled = self._settings.sampled
        if not sampled or sampled >= len(candidates):
            return candidates
        return self._rng.sample(candidates, sampled)

    def _slow_decode_ms(
        self, state: EndpointState, step_ms: float, expected_tokens: int, now_ms: int
    ) -> float:
        # A straggler with no queue would win by first token alone, and then
        # miss the target between tokens for the whole answer.
        excess_ms = step_ms - state.group.median_step_ms(now_ms)
        if excess_ms <= 0 or state.is_service:
            return 0.0
        return self._settings.slow_decode_weight * expected_tokens * excess_ms

    def predict(
        self,
        pool: str,  # noqa: ARG002
        candidates: Sequence[str],
        prompt_tokens: int,
        now_ms: int,
    ) -> float | None:
        """Return the best predicted time to first token, in ms."""
        return predict_best(self._book, candidates, prompt_tokens, now_ms)
