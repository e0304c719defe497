"""Selection of the instances to send messages to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer

if TYPE_CHECKING:
    import random

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView


def choose_peers(
    view: MemberView, count: int, rng: random.Random
) -> list[MemberAddress]:
    """Return up to *count* other members, chosen at random.

    :param view: the current members.
    :param count: the maximum number of members to return.
    :param rng: the random number generator.
    """
    size = len(view.alive)
    chosen = rng.sample(range(size), min(count + 1, size))
    own_instance = view.own.instance
    peers = [view.alive[index] for index in chosen]
    return [peer for peer in peers if peer.instance != own_instance][:count]


def send_to(peer: MemberAddress, message: tuple[object, ...]) -> SendPeer:
    """Return the action that sends *message* to *peer*."""
    return SendPeer(peer.instance, peer.host, peer.peer_port, message)
