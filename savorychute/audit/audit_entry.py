"""One entry of the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class AuditEntry(NamedTuple):
    """Who changed what, from which version or state to which, and why.

    ``kind`` is a value of :class:`~savorychute.audit.audit_kind.AuditKind`.
    ``operator`` is the person or token name, or empty for a decision of the
    system.  A ``lasting`` entry is also written to the log.
    """

    kind: str
    item: str
    operator: str
    from_version: str
    to_version: str
    why: str
    lasting: bool = False
