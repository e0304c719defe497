"""What an operator asks of the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.audit.recorded_entry import NOT_IN_LOG

if TYPE_CHECKING:
    from savorychute.audit.recorded_entry import RecordedEntry


class AuditQuery(NamedTuple):
    """A filter; an empty text and offset 0 match everything.

    An entry that is not in the log matches any offset: it is recent, or was
    not meant to last.
    """

    item: str = ''
    operator: str = ''
    since_offset: int = 0

    def matches(self, recorded: RecordedEntry) -> bool:
        """Return whether the entry is asked for."""
        entry = recorded.entry
        if self.item and entry.item != self.item:
            return False
        if self.operator and entry.operator != self.operator:
            return False
        return recorded.offset == NOT_IN_LOG or recorded.offset >= self.since_offset
