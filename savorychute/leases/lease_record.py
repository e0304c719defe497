"""Records of the lease stream."""

from __future__ import annotations

from typing import TypedDict

import msgspec

LEASE_STREAM = 'leases'
CLAIM_KIND = 'claim'
RELEASE_KIND = 'release'
MAX_NAME_CHARACTERS = 160
MAX_DURATION_MS = 600_000


class LeaseRecord(TypedDict):
    """A claim to a lease, or its release by the holder.

    ``holder`` identifies one incarnation of an instance.  ``seen_offset`` is the last
    offset that it had read; a claim is accepted only if no other claim was accepted
    after it.  ``fencing`` is the offset of the holder's first claim in a renewal, and
    -1 in a first claim.
    """

    kind: str
    claim_id: str
    name: str
    holder: str
    duration_ms: int
    seen_offset: int
    fencing: int


_DECODER = msgspec.json.Decoder(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(record)


def decode_lease_record(payload: bytes) -> LeaseRecord | None:
    """Return the record in the payload, or None if it is not a valid one.

    :param payload: the bytes at an offset of the stream, from an untrusted writer.
    """
    try:
        record = _DECODER.decode(payload)
    except (msgspec.MsgspecError, RecursionError):
        return None
    is_valid_kind = record['kind'] in (CLAIM_KIND, RELEASE_KIND)
    has_valid_name = 0 < len(record['name']) <= MAX_NAME_CHARACTERS
    has_valid_holder = 0 < len(record['holder']) <= MAX_NAME_CHARACTERS
    has_valid_duration = 0 < record['duration_ms'] <= MAX_DURATION_MS
    if not (
        is_valid_kind and has_valid_name and has_valid_holder and has_valid_duration
    ):
        return None
    return record
