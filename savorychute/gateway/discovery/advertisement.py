"""Reads what members advertise about themselves in membership messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.membership.ack import Ack
from savorychute.membership.digest import Digest
from savorychute.membership.ping import Ping

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress

# Version that an instance advertises while it should receive no requests from callers.
NOT_READY_VERSION = -1


class Advertisement(NamedTuple):
    """The address of a member, and whether it serves callers."""

    address: MemberAddress
    ready: bool


def read_advertisement(message: object) -> Advertisement | None:
    """Return what a message advertises about its sender, or None for other messages.

    Probes carry this as well as their acknowledgements, so a member knows another one
    as soon as that one probes it, without waiting until it sends a probe itself.

    :param message: message of a peer.
    """
    if not isinstance(message, Ping | Ack | Digest):
        return None
    ready = message.configuration_offset > NOT_READY_VERSION
    return Advertisement(message.origin.address, ready)
