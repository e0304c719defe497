"""The message that carries a part of the whole state."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(24)
class StatePart(NamedTuple):
    """One of ``parts`` slices of the compressed state at ``offset``.

    ``snapshot_offset`` and ``snapshot_age_ms`` are as in ``OffsetNotice``.
    """

    offset: int
    part: int
    parts: int
    data: bytes
    snapshot_offset: int
    snapshot_age_ms: int
