"""An audit entry with the time and place of its recording."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.audit.audit_entry import AuditEntry  # noqa: TC001

NOT_IN_LOG = -1


class RecordedEntry(NamedTuple):
    """An entry recorded by an instance.

    ``at_ms`` is the instance's wall-clock time since the epoch.  ``offset`` is
    the offset of the log record that contains the entry, or :data:`NOT_IN_LOG` if
    it is not known.  ``sequence`` numbers the entries of one incarnation
    of an instance.
    """

    entry: AuditEntry
    instance: str
    sequence: int
    at_ms: int
    offset: int = NOT_IN_LOG
