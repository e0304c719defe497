"""A member's report of an endpoint's limit."""

from __future__ import annotations

from typing import NamedTuple

# The rate that is reported if an endpoint no longer limits its calls.
NO_LIMIT = -1.0


class ToldLimit(NamedTuple):
    """The calls per second that a run of an endpoint stated it accepts.

    ``age_ms`` is the time since the statement.
    """

    endpoint: str
    born_ms: int
    limit_per_s: float
    age_ms: int
