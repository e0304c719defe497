"""The peer message that summarises suspicions, to detect lost updates."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(61)
class PoisonDigest(NamedTuple):
    """An order-independent hash over all entries, and their number."""

    digest: int
    entries: int
