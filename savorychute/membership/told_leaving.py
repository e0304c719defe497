"""A member's report of an endpoint that leaves."""

from __future__ import annotations

from typing import NamedTuple


class ToldLeaving(NamedTuple):
    """A run of an endpoint that announced that it leaves."""

    endpoint: str
    born_ms: int
