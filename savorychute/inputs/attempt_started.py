"""An attempt that its endpoint has started."""

from __future__ import annotations

from typing import NamedTuple


class AttemptStarted(NamedTuple):
    """The endpoint has sent the head of its response."""

    attempt_id: str
    status: int
    content_type: str
    stream_id: str
