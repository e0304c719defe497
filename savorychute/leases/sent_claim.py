"""A claim in flight to the log."""

from __future__ import annotations

from typing import NamedTuple


class SentClaim(NamedTuple):
    """A claim that was sent at ``sent_ms`` and may still be read back."""

    claim_id: str
    name: str
    sent_ms: int
    duration_ms: int
