"""Send a message to another instance."""

from __future__ import annotations

from typing import NamedTuple


class SendPeer(NamedTuple):
    """Send *message*, a registered peer message, without any guarantee.

    ``host`` and ``peer_port`` are the address, because a receiver that was found
    through the platform's list may not be a member yet.
    """

    instance: str
    host: str
    peer_port: int
    message: tuple[object, ...]
