"""What a member says of an endpoint's limit."""

from __future__ import annotations

from typing import NamedTuple

# Stands for an endpoint that takes any number of calls again.
NO_LIMIT = -1.0


class ToldLimit(NamedTuple):
    """How many calls a second a run of an endpoint takes, as it stated some time ago."""

    endpoint: str
    born_ms: int
    limit_per_s: float
    age_ms: int
