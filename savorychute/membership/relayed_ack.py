"""The acknowledgement of an indirect probe."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(13)
class RelayedAck(NamedTuple):
    """Report an acknowledgement of *target*, with the requester's sequence number."""

    sequence: int
    target: MemberUpdate
