"""An attempt whose answer is whole."""

from __future__ import annotations

from typing import NamedTuple


class AttemptEnded(NamedTuple):
    """The endpoint ended its answer explicitly."""

    attempt_id: str
    total_tokens: int
