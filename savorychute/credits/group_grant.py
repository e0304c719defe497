"""One group's part of a credit grant."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.endpoint_level import EndpointLevel  # noqa: TC001
from savorychute.credits.endpoint_load import EndpointLoad  # noqa: TC001


class GroupGrant(NamedTuple):
    """The levels of a group's endpoints; endpoints that are not listed have level 0.

    ``must_acknowledge`` requests a report at once, because other instances wait for the
    credits that this grant reclaims.  ``pressing_tier`` is the highest tier with unmet
    demand on any instance, or -1.  ``loads`` are the endpoints' load reports that the
    home has fetched since its last grant.  ``report_interval_ms`` is the interval at
    which the home expects regular reports, or 0 for the receiver's own setting.
    """

    group: int
    sequence: int
    must_acknowledge: bool
    pressing_tier: int
    levels: tuple[EndpointLevel, ...]
    loads: tuple[EndpointLoad, ...] = ()
    report_interval_ms: int = 0
