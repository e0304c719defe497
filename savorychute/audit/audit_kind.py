"""Kinds of audited events."""

from __future__ import annotations

from enum import StrEnum


class AuditKind(StrEnum):
    """The subject of an entry of the audit trail."""

    AMENDMENT = 'amendment'
    DRAIN = 'drain'
    ORDER = 'order'
    LEASE = 'lease'
    QUARANTINE = 'quarantine'
    MEMBERSHIP = 'membership'
