"""Start the response to a caller."""

from __future__ import annotations

from typing import NamedTuple


class StartResponse(NamedTuple):
    """Send the head of a response."""

    request_id: str
    status: int
    attempt_id: str
    endpoint: str
    handle: str
    content_type: str
