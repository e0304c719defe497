"""Encoding of the records of the configuration stream."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

MAX_AMENDMENT_BYTES = 100_000
"""A longer amendment is treated as unreadable.

It would not fit into a message between instances, and those that do not read the
log themselves would be stuck before it.
"""


class _RecordKind(TypedDict):
    kind: str


_KIND_DECODER = msgspec.json.Decoder(_RecordKind)
_AMENDMENT_DECODER = msgspec.json.Decoder(AmendmentRecord)
_SNAPSHOT_DECODER = msgspec.json.Decoder(SnapshotRecord)


def encode_record(record: AmendmentRecord | SnapshotRecord) -> bytes:
    """Return the record as JSON.

    :param record: the record to append.
    """
    return msgspec.json.encode(record)


def decode_record(payload: bytes) -> AmendmentRecord | SnapshotRecord | None:
    """Return the record in the payload, or None if it is not a valid one.

    The stream may contain arbitrary bytes of other writers, and a record that stops
    the fold would stop it on all instances at once.  Brackets nested some thousands
    of levels deep cause a ``RecursionError``.

    :param payload: the bytes at an offset.
    """
    try:
        kind = _KIND_DECODER.decode(payload)['kind']
        if kind == AMENDMENT_KIND and len(payload) <= MAX_AMENDMENT_BYTES:
            return _AMENDMENT_DECODER.decode(payload)
        if kind == SNAPSHOT_KIND:
            return _SNAPSHOT_DECODER.decode(payload)
    except (msgspec.MsgspecError, RecursionError, UnicodeError):
        return None
    return None
