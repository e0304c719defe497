"""One organisation of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Organisation(NamedTuple):
    """An organisation whose callers use one of the keys.

    ``tier`` overrides the tier of the route unless it is None.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None = None
