"""The status that a member sends with each probe."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.tier_shortage import TierShortage  # noqa: TC001
from savorychute.membership.told_demand import ToldDemand  # noqa: TC001
from savorychute.membership.told_leaving import ToldLeaving  # noqa: TC001
from savorychute.membership.told_limit import ToldLimit  # noqa: TC001


class MemberStatus(NamedTuple):
    """A member's load, and facts that other members may not know.

    ``load`` is in a unit that all members share.  ``shortages`` lists the tiers
    whose requests the member cannot serve.  ``wall_offset_ms`` is the wall-clock time
    minus the monotonic time; None means that it is not reported.  ``limits`` and
    ``leaving`` hold recent statements of endpoints.  ``tunnels`` states whether the
    member offers tunnels to endpoints: a port, or a value that the host defines.
    ``demands`` holds the largest demands of organisations for each instance.
    """

    load: int = 0
    shortages: tuple[TierShortage, ...] = ()
    wall_offset_ms: int | None = None
    limits: tuple[ToldLimit, ...] = ()
    leaving: tuple[ToldLeaving, ...] = ()
    tunnels: int = 0
    demands: tuple[ToldDemand, ...] = ()
