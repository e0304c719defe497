"""What an instance tells another of its configuration."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(22)
class OffsetNotice(NamedTuple):
    """The sender's offset, with the digest of its state there.

    ``snapshot_offset`` is that of the newest snapshot known, -1 for none, and
    ``snapshot_age_ms`` how long ago it was first read, a duration because the
    clocks of two instances have nothing in common.
    """

    offset: int
    digest: int
    snapshot_offset: int
    snapshot_age_ms: int
