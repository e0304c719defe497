"""Sending of messages to members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import SendPeer

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.membership import MemberView


def send_to(
    instance: str, message: tuple[object, ...], view: MemberView
) -> list[Action]:
    """Return the action that sends a message, or none if the receiver is unavailable.

    :param instance: name of the receiver.
    :param message: a peer message.
    :param view: the current membership view.
    """
    address = view.address_of(instance)
    if address is None:
        return []
    return [SendPeer(instance, address.host, address.peer_port, message)]
