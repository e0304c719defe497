"""The answer to a probe."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.membership.tier_shortage import TierShortage  # noqa: TC001
from savorychute.membership.told_leaving import ToldLeaving  # noqa: TC001
from savorychute.membership.told_limit import ToldLimit  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(11)
class Ack(NamedTuple):
    """Answer the :class:`Ping` of this sequence number.

    ``load`` is how busy the sender is, in the unit of the host's choice;
    ``shortages`` are the tiers whose requests get nothing there; ``wall_ms`` is the
    sender's time of day, 0 if it does not tell; ``limits`` and ``leaving`` are what
    endpoints stated lately.
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
