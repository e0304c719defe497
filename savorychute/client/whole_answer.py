"""An answer that is not streamed."""

from __future__ import annotations

from typing import NamedTuple


class WholeAnswer(NamedTuple):
    """A whole answer and who gave it."""

    status: int
    content_type: str
    body: bytes
    request_id: str
    attempt_id: str
    endpoint: str
