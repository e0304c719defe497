"""What callers may send."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Bounds on a caller's request and on its silence."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int
