"""Updates that are sent on at once."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(14)
class Gossip(NamedTuple):
    """Carry fresh updates, or those that another table lacked."""

    updates: tuple[MemberUpdate, ...]
