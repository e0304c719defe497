"""A home's question to members that have not reported."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(32)
class CreditAsk(NamedTuple):
    """Ask for a report on these groups, also if there is nothing to say.

    A home that has just started, or has taken over, divides freely only when
    it knows what every member holds.
    """

    groups: tuple[int, ...]
