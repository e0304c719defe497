"""Updates that are sent on at once."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(14)
class Gossip(NamedTuple):
    """Carry fresh updates, or with ``bulk`` those that a table lacked.

    Members that a bulk message makes known are not passed on again: the
    receiver was behind, the others know them.
    """

    updates: tuple[MemberUpdate, ...]
    bulk: bool = False
