"""The registry of routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.routing.endpoint_book import EndpointBook
    from savorychute.routing.routing_choice import RoutingChoice
    from savorychute.routing.routing_request import RoutingRequest
    from savorychute.routing.routing_settings import RoutingSettings


class Router(Protocol):
    """Chooses an endpoint for one request at a time."""

    def __init__(
        self, settings: RoutingSettings, book: EndpointBook, rng: random.Random
    ) -> None: ...

    def choose(
        self, request: RoutingRequest, candidates: Sequence[str], now_ms: int
    ) -> RoutingChoice | None:
        """Return the choice among *candidates*, or ``None`` if there are none.

        :param request: the request about to be started.
        :param candidates: endpoints that may run it.
        """
        ...

    def predict(
        self, pool: str, candidates: Sequence[str], prompt_tokens: int, now_ms: int
    ) -> float | None:
        """Return the best predicted time to first token, in ms.

        :param pool: the model, or ``service:`` and the service's name.
        :param candidates: endpoints that may run the request.
        :param prompt_tokens: the prompt's length; nothing of it is cached.
        """
        ...


ROUTERS: Registry[type[Router]] = Registry('router')
