"""A baseline router: the endpoint with the fewest own requests in progress."""

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


@ROUTERS.register('least-outstanding')
class LeastOutstandingRouter:
    """Chooses the candidate that runs the fewest requests of this instance.

    :param settings: the settings of routing, which this router does not use.
    :param table: the state of the endpoints.
    :param rng: breaks ties.
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
        """Return the candidate with the fewest own requests in progress."""
        if not candidates:
            return None
        endpoint = min(
            candidates,
            key=lambda name: (
                self._table.state_of(name).outstanding,
                self._rng.random(),
            ),
        )
        predicted_ms = self.predict(
            request.pool, (endpoint,), request.prompt_tokens, now_ms
        )
        return RoutingChoice(endpoint, predicted_ms or 0.0, 'least outstanding')

    def predict(
        self,
        pool: str,  # noqa: ARG002
        candidates: Sequence[str],
        prompt_tokens: int,
        now_ms: int,
    ) -> float | None:
        """Return the best predicted time to first token, in ms."""
        return predict_best(self._table, candidates, prompt_tokens, now_ms)
