"""One entry of the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class AuditEntry(NamedTuple):
    """A change of an item from one version or state to another.

    ``kind`` is a value of :class:`~savorychute.audit.audit_kind.AuditKind`.
    ``operator`` is the name of the operator, or empty for a decision of the system.
    ``why`` is the reason.  A ``lasting`` entry is also written to the log.
    """

    kind: str
    item: str
    operator: str
    from_version: str
    to_version: str
    why: str
    lasting: bool = False
