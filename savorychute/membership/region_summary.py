"""The state versions of a region's members."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_stamp import MemberStamp  # noqa: TC001
from savorychute.membership.member_update import MemberUpdate  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(16)
class RegionSummary(NamedTuple):
    """The sender's records of a region, dead members included."""

    origin: MemberUpdate
    region: str
    stamps: tuple[MemberStamp, ...]
