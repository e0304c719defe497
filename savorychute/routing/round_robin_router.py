"""A baseline router: each endpoint in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.routing.prediction import predict_best
from savorychute.routing.router import ROUTERS
from savorychute.routing.routing_choice import RoutingChoice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.routing.endpoint_table import EndpointTable
    from savorychute.routing.routing_request import RoutingRequest
    from savorychute.routing.routing_settings import RoutingSettings


@ROUTERS.register('round-robin')
class RoundRobinRouter:
    """Chooses the candidates of a pool in turn, regardless of their load.

    :param settings: the settings of routing, which this router does not use.
    :param table: the state of the endpoints.
    :param rng: chooses the first position, so that instances differ.
    """

    def __init__(
        self, settings: RoutingSettings, table: EndpointTable, rng: random.Random
    ) -> None:
        self._settings = settings
        self._table = table
        self._rng = rng
        self._positions: dict[str, int] = {}

    def choose(
        self, request: RoutingRequest, candidates: Sequence[str], now_ms: int
    ) -> RoutingChoice | None:
        """Return the next candidate in turn."""
        if not candidates:
            return None
        position = self._positions.get(request.pool)
        if position is None:
            position = self._rng.randrange(len(candidates))
        self._positions[request.pool] = position + 1
        endpoint = sorted(candidates)[position % len(candidates)]
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
        return predict_best(self._table, candidates, prompt_tokens, now_ms)
