"""Each endpoint in turn: a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.routing.prediction import predict_best
from savorychute.routing.router import ROUTERS
from savorychute.routing.routing_choice import RoutingChoice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.routing.endpoint_book import EndpointBook
    from savorychute.routing.routing_request import RoutingRequest
    from savorychute.routing.routing_settings import RoutingSettings


@ROUTERS.register('round-robin')
class RoundRobinRouter:
    """Takes the candidates of a pool in turn, whatever their load.

    :param settings: unused but for the prediction that admission asks for.
    :param book: what is known of the endpoints.
    :param rng: where the first turn starts, so that instances do not agree.
    """

    def __init__(
        self, settings: RoutingSettings, book: EndpointBook, rng: random.Random
    ) -> None:
        self._settings = settings
        self._book = book
        self._rng = rng
        self._turns: dict[str, int] = {}

    def choose(
        self, request: RoutingRequest, candidates: Sequence[str], now_ms: int
    ) -> RoutingChoice | None:
        """Return the next candidate in turn."""
        if not candidates:
            return None
        turn = self._turns.get(request.pool)
        if turn is None:
            turn = self._rng.randrange(len(candidates))
        self._turns[request.pool] = turn + 1
        endpoint = sorted(candidates)[turn % len(candidates)]
        predicted_ms = self.predict(
            request.pool, (endpoint,), request.prompt_tokens, now_ms
        )
        return RoutingChoice(endpoint, predicted_ms or 0.0, 'turn')

    def predict(
        self,
        pool: str,  # noqa: ARG002
        candidates: Sequence[str],
        prompt_tokens: int,
        now_ms: int,
    ) -> float | None:
        """Return the best predicted time to first token, in ms."""
        return predict_best(self._book, candidates, prompt_tokens, now_ms)
