"""A response stored for callers that retry."""

from __future__ import annotations

from typing import NamedTuple


class StoredOutcome(NamedTuple):
    """A complete response, as it was sent."""

    status: int
    content_type: str
    body: bytes
