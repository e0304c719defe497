"""Keeps the roster of endpoints by what they register."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.store.endpoint_news import EndpointNews, make_news
from savorychute.gateway.translation_error import TranslationError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.store.endpoint_journal import EndpointJournal
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.reading_plan import ReadingPlan
    from savorychute.gateway.store.store_errors import StoreUnavailableError
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.telemetry import GatewayTelemetry


class EndpointListener:
    """Hands entries to the roster, and changes to the journal for other instances.

    :param roster: the endpoints.
    :param journal: the changes.
    :param plan: is told of each read.
    :param decode: turns a record into an entry.
    :param telemetry: is told of what changes.
    :param clock: the time.
    """

    def __init__(
        self,
        roster: EndpointRoster,
        journal: EndpointJournal,
        plan: ReadingPlan,
        decode: Callable[[str, bytes], EndpointEntry],
        telemetry: GatewayTelemetry,
        clock: Clock,
    ) -> None:
        self._roster = roster
        self._journal = journal
        self._plan = plan
        self._decode = decode
        self._telemetry = telemetry
        self._clock = clock
        self._draining: dict[str, bool] = {}

    def topic_listed(self, snapshot: TopicSnapshot, began_ms: int) -> None:
        """Take all entries."""
        self._telemetry.store_answered('endpoints')
        self._plan.failing_topics.discard('endpoints')
        read = [self._read(record) for record in snapshot.records]
        entries = [entry for entry in read if entry is not None]
        now_ms = self._clock.now_ms()
        self._roster.apply_all(entries, now_ms)
        self._draining = {entry.endpoint: entry.draining for entry in entries}
        self._roster.expire(now_ms)
        self._journal.restart(snapshot.next_offset)
        self._plan.must_list_endpoints = False
        self._plan.endpoints_confirmed(began_ms)

    def topic_changed(self, delta: TopicDelta, began_ms: int) -> None:
        """Take entries that were written or removed, in their order."""
        self._telemetry.store_answered('endpoints')
        self._plan.failing_topics.discard('endpoints')
        if delta.next_offset < self._journal.offset:
            # Another instance told of later changes while this read was under way.
            return
        for record in delta.records:
            if record.value is None:
                self._take(EndpointNews(record.offset, record.key, gone=True))
                continue
            entry = self._read(record)
            if entry is not None:
                self._take(make_news(record.offset, entry))
        self._journal.offset = delta.next_offset
        self._roster.expire(self._clock.now_ms())
        self._plan.endpoints_confirmed(began_ms)

    def topic_failed(self, error: StoreUnavailableError) -> None:
        """Note that entries may lapse because nobody can write them."""
        self._telemetry.store_failed('endpoints', error)
        self._plan.failing_topics.add('endpoints')
        self._roster.store_failed(self._clock.now_ms())

    def take_changes(self, changes: Sequence[EndpointNews], offset: int) -> None:
        """Take changes that another instance has read.

        :param changes: in their order.
        :param offset: up to which they are all.
        """
        for news in changes:
            if news.offset >= self._journal.offset:
                self._take(news)
        self._journal.offset = max(self._journal.offset, offset)
        self._roster.expire(self._clock.now_ms())

    def _take(self, news: EndpointNews) -> None:
        """Apply a record, and keep it if it says more than the heartbeat before it.

        What counts is what the topic said before, not what the roster knows: this
        instance may have learned from an endpoint itself that it leaves, and the others
        still have to be told.
        """
        if news.gone:
            self._telemetry.endpoint_gone(news.endpoint)
            self._roster.remove(news.endpoint, self._clock.now_ms())
            self._draining.pop(news.endpoint, None)
            self._journal.add(news)
            return
        entry = news.to_entry()
        if self._draining.get(entry.endpoint) != entry.draining:
            self._draining[entry.endpoint] = entry.draining
            self._telemetry.endpoint_changed(entry)
            self._journal.add(news)
        self._roster.apply(entry)

    def _read(self, record: KeyedRecord) -> EndpointEntry | None:
        if record.value is None:
            return None
        try:
            return self._decode(record.key, record.value)
        except TranslationError as error:
            self._telemetry.record_unreadable('endpoints', record.key, error)
            return None
