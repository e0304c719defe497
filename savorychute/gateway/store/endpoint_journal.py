"""The latest changes of endpoints' entries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.store.endpoint_news import EndpointNews

KEPT = 512


class EndpointJournal:
    """What an instance can tell another that has read up to some offset.

    Most records are heartbeats that change nothing; only those that do are kept.
    ``offset`` is where the topic was read last, ``first`` where the journal begins, both in
    one ``era`` of the store.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.first = -1
        self.era = 0
        self._news: deque[EndpointNews] = deque()

    def restart(self, offset: int, era: int) -> None:
        """Begin anew after a listing, which shows no single changes.

        :param offset: where reading goes on.
        :param era: of the store.
        """
        self._news.clear()
        self.first = offset
        self.offset = offset
        self.era = era

    def add(self, news: EndpointNews) -> None:
        """Keep a change.

        :param news: the change; its offset is larger than all before.
        """
        self._news.append(news)
        if len(self._news) > KEPT:
            self.first = self._news.popleft().offset + 1

    def since(self, offset: int) -> tuple[EndpointNews, ...] | None:
        """Return the changes from an offset on, or None if they are not all kept.

        :param offset: the first record that the other has not read.
        """
        if not 0 <= self.first <= offset:
            return None
        return tuple(news for news in self._news if news.offset >= offset)
