"""The message that requests a part of the whole state."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(23)
class StateRequest(NamedTuple):
    """A request for one part of the receiver's state at ``offset``."""

    offset: int
    part: int
