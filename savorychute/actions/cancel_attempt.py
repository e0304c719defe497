"""Cancel an attempt at an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class CancelAttempt(NamedTuple):
    """Close the attempt and stop it at the endpoint if it still runs.

    With ``keep_stream`` the engine pauses the stream for a later resume
    instead of discarding it.
    """

    attempt_id: str
    keep_stream: bool = False
