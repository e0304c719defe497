"""A request for updates that are newer according to a summary."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(17)
class UpdateRequest(NamedTuple):
    """Request the receiver's updates of these instances."""

    origin: MemberUpdate
    instances: tuple[str, ...]
