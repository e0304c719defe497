"""Records of a keyed topic in the order in which they were written."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.unreadable_record import UnreadableRecord


class TopicDelta(NamedTuple):
    """The records from an offset on, up to ``next_offset``.

    ``end`` is the end of the topic at that time, 0 if unknown; ``era`` is the era of
    the store.
    """

    records: tuple[KeyedRecord | UnreadableRecord, ...]
    next_offset: int
    end: int = 0
    era: int = 0

    @property
    def remaining(self) -> int:
        """The known number of records after these."""
        return max(0, self.end - self.next_offset)
