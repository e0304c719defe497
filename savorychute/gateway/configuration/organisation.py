"""One organisation of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Organisation(NamedTuple):
    """Who may call, and by which keys.

    ``tier`` replaces that of the route, unless it is None.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None = None
