"""One group's part of a credit grant."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.endpoint_level import EndpointLevel  # noqa: TC001
from savorychute.credits.endpoint_load import EndpointLoad  # noqa: TC001


class GroupGrant(NamedTuple):
    """The levels of a group's endpoints; what is not named is zero.

    ``must_acknowledge`` asks for a report at once, because others wait for
    what this grant takes back.  ``pressing_tier`` is the highest tier with
    unmet demand anywhere, or -1.  ``loads`` are the endpoints' load reports that
    the home has fetched since its last grant.  ``report_interval_ms`` is how
    often the home wants regular reports, or 0 for the receiver's own setting.
    """

    group: int
    sequence: int
    must_acknowledge: bool
    pressing_tier: int
    levels: tuple[EndpointLevel, ...]
    loads: tuple[EndpointLoad, ...] = ()
    report_interval_ms: int = 0
