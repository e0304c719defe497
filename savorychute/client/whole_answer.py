"""A response that is not streamed."""

from __future__ import annotations

from typing import NamedTuple


class WholeAnswer(NamedTuple):
    """A complete response, with the ids of its request, attempt and endpoint."""

    status: int
    content_type: str
    body: bytes
    request_id: str
    attempt_id: str
    endpoint: str
