"""The indirect probe."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.member_address import MemberAddress  # noqa: TC001
from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(12)
class PingRequest(NamedTuple):
    """Ask the receiver to ping *target* and to relay its acknowledgement."""

    sequence: int
    origin: MemberUpdate
    target: MemberAddress
