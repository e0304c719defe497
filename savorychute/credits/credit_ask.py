"""Message in which a home instance requests missing reports."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(32)
class CreditAsk(NamedTuple):
    """Request for a report on these groups, even if it is empty.

    A home that has just started or has taken over divides the full capacity only when
    it knows what every member holds.
    """

    groups: tuple[int, ...]
