"""Permission to run a keyed request."""

from __future__ import annotations

from typing import NamedTuple


class KeyGranted(NamedTuple):
    """This instance alone decides the key, and it has not run yet."""

    request_id: str
