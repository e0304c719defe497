"""What instances tell each other of requests that crash endpoints."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.recovery.crash_sighting import CrashSighting  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(90)
class CrashNews(NamedTuple):
    """Sightings, and how long ago the oldest of them was made."""

    sightings: tuple[CrashSighting, ...]
    age_ms: int = 0
