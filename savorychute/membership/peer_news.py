"""What members say of themselves on probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.membership.ack import Ack
    from savorychute.membership.ping import Ping


class PeerNews:
    """The newest offset and load of each member that was heard."""

    def __init__(self) -> None:
        self.offsets: dict[str, int] = {}
        self.loads: dict[str, int] = {}

    def note(self, message: Ping | Ack) -> None:
        """Take in what came with a probe or its answer.

        :param message: from the member itself.
        """
        instance = message.origin.address.instance
        self.offsets[instance] = message.configuration_offset
        self.loads[instance] = message.load

    def forget(self, instance: str) -> None:
        """Drop a member that is dead.

        :param instance: its name.
        """
        self.offsets.pop(instance, None)
        self.loads.pop(instance, None)
