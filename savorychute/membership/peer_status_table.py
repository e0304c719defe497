"""Status values that members report on probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.membership.ack import Ack
    from savorychute.membership.ping import Ping


class PeerStatusTable:
    """The last reported offset and load of each member."""

    def __init__(self) -> None:
        self.offsets: dict[str, int] = {}
        self.loads: dict[str, int] = {}

    def record(self, message: Ping | Ack) -> None:
        """Record the values of a probe or an acknowledgement.

        :param message: a message from the member itself.
        """
        instance = message.origin.address.instance
        self.offsets[instance] = message.configuration_offset
        self.loads[instance] = message.load

    def remove(self, instance: str) -> None:
        """Remove a dead member.

        :param instance: its name.
        """
        self.offsets.pop(instance, None)
        self.loads.pop(instance, None)
