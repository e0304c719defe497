"""Records of a keyed topic in the order in which they were written."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.unreadable_record import UnreadableRecord


class TopicDelta(NamedTuple):
    """What was written from an offset on, up to ``next_offset``."""

    records: tuple[KeyedRecord | UnreadableRecord, ...]
    next_offset: int
