"""One service of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Service(NamedTuple):
    """Endpoints of one kind.

    ``max_connections`` is what one endpoint accepts from all callers together.
    ``runs_models`` is true for model engines.
    """

    name: str
    health_path: str
    max_connections: int
    runs_models: bool
