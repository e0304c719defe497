"""A summary of suspicions, to find lost news."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(61)
class PoisonDigest(NamedTuple):
    """An order-free hash over all entries, and how many there are."""

    digest: int
    entries: int
