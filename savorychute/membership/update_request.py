"""A request for updates that a summary showed to be newer."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(17)
class UpdateRequest(NamedTuple):
    """Ask for what the receiver knows of these instances."""

    origin: MemberUpdate
    instances: tuple[str, ...]
