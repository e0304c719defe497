"""An answer kept for a caller that asks again."""

from __future__ import annotations

from typing import NamedTuple


class StoredOutcome(NamedTuple):
    """A whole answer as it was sent."""

    status: int
    content_type: str
    body: bytes
