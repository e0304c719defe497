"""An attempt that its endpoint took up."""

from __future__ import annotations

from typing import NamedTuple


class AttemptStarted(NamedTuple):
    """The endpoint answered with a head."""

    attempt_id: str
    status: int
    content_type: str
    stream_id: str
