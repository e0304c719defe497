"""A part of a snapshot, as the log keeps it."""

from __future__ import annotations

from typing import TypedDict

SNAPSHOT_KIND = 'snapshot'


class SnapshotRecord(TypedDict):
    """One of the parts that together hold the state at an offset.

    ``data`` is a slice of the compressed state, see
    :mod:`savorychute.configuration.snapshot_codec`.  It is empty in a record
    that was passed on between instances: there it only fills its offset.
    """

    kind: str
    snapshot_id: str
    through_offset: int
    part: int
    parts: int
    data: bytes
