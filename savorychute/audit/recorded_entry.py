"""An audit entry with when and where it was recorded."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.audit.audit_entry import AuditEntry  # noqa: TC001

NOT_IN_LOG = -1


class RecordedEntry(NamedTuple):
    """An entry of an instance.

    ``at_ms`` is the instance's wall-clock time since the epoch.  ``offset`` is
    that of the log record that holds the entry, :data:`NOT_IN_LOG` if none
    was read back.  ``sequence`` numbers the entries of one run of an instance.
    """

    entry: AuditEntry
    instance: str
    sequence: int
    at_ms: int
    offset: int = NOT_IN_LOG
