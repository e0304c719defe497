"""The response to a query for a permit."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(96)
class PermitAnswer(NamedTuple):
    """Whether the call with this sequence number is permitted.

    ``wait_ms`` is the time until one may be permitted, 0 if the permit is granted.
    """

    sequence: int
    wait_ms: int
