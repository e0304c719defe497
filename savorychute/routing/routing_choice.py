"""The endpoint that a router chose."""

from __future__ import annotations

from typing import NamedTuple


class RoutingChoice(NamedTuple):
    """An endpoint, its predicted time to first token, and why it was chosen."""

    endpoint: str
    predicted_first_token_ms: float
    reason: str
