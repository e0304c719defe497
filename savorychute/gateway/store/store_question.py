"""A query for the state that another instance has read."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(91)
class StoreQuestion(NamedTuple):
    """Request the changes of endpoints from an offset on; -1 requests none.

    The offset belongs to an ``era`` of the store.
    """

    sequence: int
    endpoint_offset: int
    era: int = 0
