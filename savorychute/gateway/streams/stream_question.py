"""The message that asks another instance for the origins of streams."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(99)
class StreamQuestion(NamedTuple):
    """Asks for the origins of the streams with these concatenated keys."""

    keys: bytes
