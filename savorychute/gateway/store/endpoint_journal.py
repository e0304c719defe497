"""The latest changes of endpoint entries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.store.endpoint_news import EndpointNews

MAX_CHANGES = 512


class EndpointJournal:
    """Changes for other instances that have read up to some offset.

    Most records are heartbeats that change nothing; only changes are kept. ``offset``
    is the position up to which the topic was read, ``first_offset`` the position at
    which the journal starts; both belong to one ``era`` of the store.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.first_offset = -1
        self.era = 0
        self._changes: deque[EndpointNews] = deque()

    def reset(self, offset: int, era: int) -> None:
        """Start again after a listing, which does not contain individual changes.

        :param offset: the offset from which the topic is read next.
        :param era: the era of the store.
        """
        self._changes.clear()
        self.first_offset = offset
        self.offset = offset
        self.era = era

    def add(self, change: EndpointNews) -> None:
        """Add a change.

        :param change: the change; its offset is larger than all earlier ones.
        """
        self._changes.append(change)
        if len(self._changes) > MAX_CHANGES:
            self.first_offset = self._changes.popleft().offset + 1

    def changes_since(self, offset: int) -> tuple[EndpointNews, ...] | None:
        """Return the changes from an offset on, or None if some are no longer kept.

        :param offset: the first offset that the other instance has not read.
        """
        if not 0 <= self.first_offset <= offset:
            return None
        return tuple(change for change in self._changes if change.offset >= offset)
