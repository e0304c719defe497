"""One service of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Service(NamedTuple):
    """Endpoints of one kind; ``runs_models`` is true for model engines."""

    name: str
    runs_models: bool
