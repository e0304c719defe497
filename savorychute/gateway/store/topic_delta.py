"""Records of a keyed topic in the order in which they were written."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.unreadable_record import UnreadableRecord


class TopicDelta(NamedTuple):
    """What was written from an offset on, up to ``next_offset``.

    ``end`` is where the topic ended then, 0 if that is not known; ``era`` is the store's.
    """

    records: tuple[KeyedRecord | UnreadableRecord, ...]
    next_offset: int
    end: int = 0
    era: int = 0

    @property
    def left(self) -> int:
        """How many more records the topic is known to hold."""
        return max(0, self.end - self.next_offset)
