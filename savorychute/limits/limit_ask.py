"""A home's question to members that have not reported."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(42)
class LimitAsk(NamedTuple):
    """Ask for a report on these organisations, also if there is nothing to say.

    A home divides freely only when it knows what every member holds.
    """

    organisations: tuple[str, ...]
