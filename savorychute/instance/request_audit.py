"""Audit entries about requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.audit.audit_entry import AuditEntry
from savorychute.audit.audit_kind import AuditKind

if TYPE_CHECKING:
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.tracked_request import TrackedRequest


def record_quarantine(
    parts: InstanceParts, tracked: TrackedRequest, now_ms: int
) -> None:
    """Record that a request was quarantined, and emit an event for extensions.

    The entry contains the fingerprint of the request, never its text.
    """
    entry = AuditEntry(
        kind=AuditKind.QUARANTINE,
        item=f'request:{tracked.fingerprint}',
        operator='',
        from_version='',
        to_version='quarantined',
        why='attempts coincided with crashes of two endpoints',
        lasting=True,
    )
    parts.audit.record(entry, now_ms)
    parts.events.emit('request-quarantined', entry)
