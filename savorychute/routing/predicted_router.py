"""The router that minimises the predicted time to first token."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

from savorychute.routing.prediction import predict_best, predict_first_token_ms
from savorychute.routing.router import ROUTERS
from savorychute.routing.routing_choice import RoutingChoice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.routing.endpoint_state import EndpointState
    from savorychute.routing.endpoint_table import EndpointTable
    from savorychute.routing.routing_request import RoutingRequest
    from savorychute.routing.routing_settings import RoutingSettings

#: A measured step time below this multiple of the group's median is treated as
#: noise.
SLOW_RATIO = 1.5


@ROUTERS.register('predicted')
class PredictedRouter:
    """Scores candidates by predicted time to first token and slow decoding.

    :param settings: the weights of the score.
    :param table: the state of the endpoints.
    :param rng: samples candidates and draws the uncertain part of reports, so
        that instances with the same reports do not all choose the same endpoint.
    """

    def __init__(
        self, settings: RoutingSettings, table: EndpointTable, rng: random.Random
    ) -> None:
        self._settings = settings
        self._table = table
        self._rng = rng

    def choose(
        self, request: RoutingRequest, candidates: Sequence[str], now_ms: int
    ) -> RoutingChoice | None:
        """Return the candidate with the lowest score."""
        best: EndpointState | None = None
        best_score_ms = 0.0
        best_uncached = 0.0
        for name in self._sample(candidates):
            state = self._table.state_of(name)
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

        Minimising the plain prediction makes all instances choose the endpoint
        that one report shows to be idle.  The load of the other instances is
        therefore drawn from its estimated distribution, own requests, of which
        the others do not know, have a higher weight, and an occupied slot adds
        a small cost even if no request waits yet, because it will not be
        available when more requests arrive.
        """
        settings = self._settings
        median_ms, _, own_weight = state.group.summary(now_ms)
        step_ms = state.measured_step_ms(now_ms)
        is_slow = step_ms > SLOW_RATIO * median_ms
        if not is_slow:
            step_ms = median_ms
        holding_ms = state.holding_ms(step_ms)
        peer_requests, variance = state.estimate_peer_requests(holding_ms, now_ms)
        if not is_slow:
            deviation = settings.doubt_weight * sqrt(variance)
            peer_requests += deviation * self._rng.gauss(0.0, 1.0)
        own_requests = len(state.attempts)
        weighted_requests = settings.congestion_weight * (
            own_weight * own_requests + peer_requests
        )
        excess_requests = own_requests + peer_requests + 1 - state.capacity
        if excess_requests > 0:
            weighted_requests += excess_requests
        score_ms = state.round_trip_ms + weighted_requests * holding_ms / state.capacity
        if state.is_service:
            return score_ms + state.service_ms
        tokens = uncached_tokens + state.backlog_tokens
        score_ms += step_ms * (1 + tokens / state.group.prefill_tokens_per_step)
        if is_slow:
            # Scored by its time to first token alone, a straggler without a queue
            # would be chosen, and miss the token gap target for the whole answer.
            excess_step_ms = step_ms - median_ms
            score_ms += settings.slow_decode_weight * expected_tokens * excess_step_ms
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
        return predict_best(self._table, candidates, prompt_tokens, now_ms)
