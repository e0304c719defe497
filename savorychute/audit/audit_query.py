"""An operator's query of the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.audit.recorded_entry import NOT_IN_LOG

if TYPE_CHECKING:
    from savorychute.audit.recorded_entry import RecordedEntry


class AuditQuery(NamedTuple):
    """A filter; empty strings and offset 0 match all entries.

    An entry that is not in the log matches any offset: it is recent or not lasting.
    """

    item: str = ''
    operator: str = ''
    since_offset: int = 0

    def matches(self, recorded: RecordedEntry) -> bool:
        """Return whether the entry matches the filter."""
        entry = recorded.entry
        if self.item and entry.item != self.item:
            return False
        if self.operator and entry.operator != self.operator:
            return False
        return recorded.offset == NOT_IN_LOG or recorded.offset >= self.since_offset
