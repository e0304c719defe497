"""Records of the configuration stream as bytes."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

MAX_AMENDMENT_BYTES = 100_000
"""A longer one is as good as unreadable: it would fit no message between
instances, and those that do not read the log would never get past it."""


class _RecordHead(TypedDict):
    kind: str


_HEAD = msgspec.json.Decoder(_RecordHead)
_AMENDMENT = msgspec.json.Decoder(AmendmentRecord)
_SNAPSHOT = msgspec.json.Decoder(SnapshotRecord)


def encode_record(record: AmendmentRecord | SnapshotRecord) -> bytes:
    """Return the record as JSON.

    :param record: what is to be appended.
    """
    return msgspec.json.encode(record)


def decode_record(payload: bytes) -> AmendmentRecord | SnapshotRecord | None:
    """Return the record in the payload, or None if it is not one.

    Anybody's bytes may be in the stream, and a record that stopped the fold
    would stop it on every instance at once.  ``RecursionError`` is what
    brackets nested some thousands deep cause.

    :param payload: the bytes at an offset.
    """
    try:
        kind = _HEAD.decode(payload)['kind']
        if kind == AMENDMENT_KIND and len(payload) <= MAX_AMENDMENT_BYTES:
            return _AMENDMENT.decode(payload)
        if kind == SNAPSHOT_KIND:
            return _SNAPSHOT.decode(payload)
    except (msgspec.MsgspecError, RecursionError, UnicodeError):
        return None
    return None
