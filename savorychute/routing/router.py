"""The registry of routers and their common interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.routing.endpoint_table import EndpointTable
    from savorychute.routing.routing_choice import RoutingChoice
    from savorychute.routing.routing_request import RoutingRequest
    from savorychute.routing.routing_settings import RoutingSettings


class Router(Protocol):
    """Chooses the endpoint of a request."""

    def __init__(
        self, settings: RoutingSettings, table: EndpointTable, rng: random.Random
    ) -> None: ...

    def choose(
        self, request: RoutingRequest, candidates: Sequence[str], now_ms: int
    ) -> RoutingChoice | None:
        """Return the choice among *candidates*, or ``None`` if there are none.

        :param request: the request to be started.
        :param candidates: the endpoints that can run it.
        """
        ...

    def predict(
        self, pool: str, candidates: Sequence[str], prompt_tokens: int, now_ms: int
    ) -> float | None:
        """Return the best predicted time to first token, in ms.

        :param pool: the model, or ``service:`` followed by the name of the
            service.
        :param candidates: the endpoints that can run the request.
        :param prompt_tokens: the length of the prompt; no part of it is cached.
        """
        ...


ROUTERS: Registry[type[Router]] = Registry('router')
