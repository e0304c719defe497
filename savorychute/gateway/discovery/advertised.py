"""What members say of themselves in messages of the membership."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.membership.ack import Ack
from savorychute.membership.digest import Digest
from savorychute.membership.ping import Ping

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress

# What an instance advertises as its version while callers should go elsewhere.
NOT_READY = -1


class Advertised(NamedTuple):
    """Who a member is, and whether it takes callers."""

    address: MemberAddress
    ready: bool


def read_advertised(message: object) -> Advertised | None:
    """Return what a message says of its sender, or None if it says nothing.

    Probes tell it as well as their answers: a member that is probed by another one is
    known at once, without waiting for its own turn.

    :param message: of a peer.
    """
    if not isinstance(message, Ping | Ack | Digest):
        return None
    ready = message.configuration_offset > NOT_READY
    return Advertised(message.origin.address, ready)
