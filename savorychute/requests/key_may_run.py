"""Permission to run a keyed request."""

from __future__ import annotations

from typing import NamedTuple


class KeyMayRun(NamedTuple):
    """This instance alone decides the key, and it has not run."""

    request_id: str
