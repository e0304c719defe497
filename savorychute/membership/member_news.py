"""What a member tells the others with each probe."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.tier_shortage import TierShortage  # noqa: TC001
from savorychute.membership.told_leaving import ToldLeaving  # noqa: TC001
from savorychute.membership.told_limit import ToldLimit  # noqa: TC001


class MemberNews(NamedTuple):
    """How busy it is, and what it knows that others may not.

    ``load`` is in a unit that all use.  ``shortages`` are the tiers whose requests get
    nothing there.  ``wall_offset_ms`` is the time of day less the clock's; None is not
    told.  ``limits`` and ``leaving`` are what endpoints stated lately.
    """

    load: int = 0
    shortages: tuple[TierShortage, ...] = ()
    wall_offset_ms: int | None = None
    limits: tuple[ToldLimit, ...] = ()
    leaving: tuple[ToldLeaving, ...] = ()
