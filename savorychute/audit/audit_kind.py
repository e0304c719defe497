"""Kinds of audited events."""

from __future__ import annotations

from enum import StrEnum


class AuditKind(StrEnum):
    """What an entry of the audit trail is about."""

    AMENDMENT = 'amendment'
    DRAIN = 'drain'
    ORDER = 'order'
    LEASE = 'lease'
    QUARANTINE = 'quarantine'
    MEMBERSHIP = 'membership'
