"""The answer to a question for a permit."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(96)
class PermitAnswer(NamedTuple):
    """Whether the call of this sequence number may be made.

    ``wait_ms`` is how long it takes until one may, 0 if it is granted.
    """

    sequence: int
    wait_ms: int
