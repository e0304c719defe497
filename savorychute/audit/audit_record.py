"""A batch of audit entries as stored in the log."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from savorychute.audit.recorded_entry import RecordedEntry  # noqa: TC001

AUDIT_STREAM = 'audit'


class AuditRecord(TypedDict):
    """Entries of one incarnation of an instance, in order of their sequence numbers."""

    batch_id: str
    entries: list[RecordedEntry]


_DECODER = msgspec.json.Decoder(AuditRecord)


def encode_audit_record(record: AuditRecord) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(record)


def decode_audit_record(payload: bytes) -> AuditRecord | None:
    """Return the record in the payload, or None if it is not valid."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.MsgspecError, RecursionError):
        return None
