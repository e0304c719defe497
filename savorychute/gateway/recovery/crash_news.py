"""The message that reports observed crashes to other instances."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.recovery.crash_sighting import CrashSighting  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(90)
class CrashNews(NamedTuple):
    """Observed crashes, and the age of the oldest of them."""

    sightings: tuple[CrashSighting, ...]
    age_ms: int = 0
