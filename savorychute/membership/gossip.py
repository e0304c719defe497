"""Member updates that are passed on without a request."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(14)
class Gossip(NamedTuple):
    """Carry new updates, or with ``bulk`` those missing from the receiver's table.

    Members that become known by a bulk message are not gossiped further: only the
    receiver was missing them.
    """

    updates: tuple[MemberUpdate, ...]
    bulk: bool = False
