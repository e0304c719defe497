"""Message in which a home instance requests missing reports."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(42)
class LimitAsk(NamedTuple):
    """Request for a report on these organisations, even if it is empty.

    A home divides the full limits only when it knows what every member holds.
    """

    organisations: tuple[str, ...]
