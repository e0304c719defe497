"""A compact digest of the member table, a few bytes per region."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.membership.region_digest import RegionDigest  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(15)
class Digest(NamedTuple):
    """A digest of each region's members.

    The receiver responds with a :class:`RegionSummary` if its own digest differs.
    """

    origin: MemberUpdate
    configuration_offset: int
    regions: tuple[RegionDigest, ...]
