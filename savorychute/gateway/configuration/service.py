"""One service of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.configuration.engine_properties import EngineProperties
    from savorychute.gateway.configuration.service_scaling import ServiceScaling


class Service(NamedTuple):
    """A group of equivalent endpoints; ``runs_models`` is true for model engines.

    ``scaling`` is None for a service whose endpoints cannot be ordered, ``engine`` for
    one that runs no models.  ``max_connections`` is how many connections one of its
    endpoints accepts from all instances together, 0 if that is not stated.
    """

    name: str
    runs_models: bool
    scaling: ServiceScaling | None = None
    engine: EngineProperties | None = None
    max_connections: int = 0
