"""The message in which an instance reports the offset of its configuration."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(22)
class OffsetNotice(NamedTuple):
    """The offset of the sender, with the digest of its state at that offset.

    ``snapshot_offset`` is the offset of the newest known snapshot, -1 for none, and
    ``snapshot_age_ms`` the time since it was first read.  This is a duration because
    the clocks of two instances are unrelated.
    """

    offset: int
    digest: int
    snapshot_offset: int
    snapshot_age_ms: int
