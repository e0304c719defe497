"""A witness's answer to a start notice."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(51)
class StartAnswer(NamedTuple):
    """The start is noted, or refused because the key is revoked or foreign."""

    key: str
    accepted: bool
    reason: str
