"""The log record of a part of a snapshot."""

from __future__ import annotations

from typing import TypedDict

SNAPSHOT_KIND = 'snapshot'


class SnapshotRecord(TypedDict):
    """One of the parts that together contain the state at an offset.

    ``data`` is a slice of the compressed state, see
    :mod:`savorychute.configuration.snapshot_codec`.  It is empty in a record that
    one instance sent to another: there the record only occupies its offset.
    """

    kind: str
    snapshot_id: str
    through_offset: int
    part: int
    parts: int
    data: bytes
