"""A service's share of a route's traffic."""

from __future__ import annotations

from typing import NamedTuple


class ServiceShare(NamedTuple):
    """A service and its weight among the services of one route."""

    service: str
    weight: float
