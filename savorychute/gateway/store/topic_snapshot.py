"""The newest records of a keyed topic."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.unreadable_record import UnreadableRecord


class TopicSnapshot(NamedTuple):
    """The newest record of each key.

    Reading from ``next_offset`` misses nothing; it may return records again that the
    snapshot already contains. ``era`` is the era of the store.
    """

    records: tuple[KeyedRecord | UnreadableRecord, ...]
    next_offset: int
    era: int = 0
