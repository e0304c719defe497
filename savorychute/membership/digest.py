"""The table of members in a few bytes per region."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.membership.region_digest import RegionDigest  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(15)
class Digest(NamedTuple):
    """Answered by a :class:`RegionSummary` where the receiver differs."""

    origin: MemberUpdate
    configuration_offset: int
    regions: tuple[RegionDigest, ...]
