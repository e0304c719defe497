"""The acknowledgement of a probe."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.membership.tier_shortage import TierShortage  # noqa: TC001
from savorychute.membership.told_demand import ToldDemand  # noqa: TC001
from savorychute.membership.told_leaving import ToldLeaving  # noqa: TC001
from savorychute.membership.told_limit import ToldLimit  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(11)
class Ack(NamedTuple):
    """Acknowledge the :class:`Ping` with this sequence number.

    ``load`` is the sender's load, in a unit that the host application chooses;
    ``shortages`` lists the tiers whose requests the sender cannot serve; ``wall_ms``
    is the sender's wall-clock time, or 0 if it is not reported; ``limits`` and
    ``leaving`` hold recent statements of endpoints; ``tunnels`` states whether the
    sender offers tunnels to endpoints: a port, or a value that the host defines;
    ``demands`` holds the largest demands of organisations for each instance.
    """

    sequence: int
    origin: MemberUpdate
    configuration_offset: int
    updates: tuple[MemberUpdate, ...] = ()
    load: int = 0
    shortages: tuple[TierShortage, ...] = ()
    wall_ms: int = 0
    limits: tuple[ToldLimit, ...] = ()
    leaving: tuple[ToldLeaving, ...] = ()
    tunnels: int = 0
    demands: tuple[ToldDemand, ...] = ()
