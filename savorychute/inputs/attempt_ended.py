"""An attempt whose response is complete."""

from __future__ import annotations

from typing import NamedTuple


class AttemptEnded(NamedTuple):
    """The endpoint has ended its response explicitly."""

    attempt_id: str
    total_tokens: int
