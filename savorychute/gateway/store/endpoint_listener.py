"""Keeps the roster of endpoints by what they register."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.run_order import EntryVerdict
from savorychute.gateway.store.endpoint_news import EndpointNews, make_news
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.gateway.translation_error import TranslationError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
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
        # What the topic said last of each endpoint: its run, and whether it drains.
        self._told: dict[str, tuple[EndpointRun, bool]] = {}

    def topic_listed(self, snapshot: TopicSnapshot, began_ms: int) -> None:
        """Take all entries."""
        self._telemetry.store_answered('endpoints')
        self._plan.failing_topics.discard('endpoints')
        read = [self._read(record) for record in snapshot.records]
        entries = [each for each in read if not isinstance(each, EndpointNews)]
        now_ms = self._clock.now_ms()
        if snapshot.era != self._journal.era:
            # An older copy lacks endpoints that came since, until they write again.
            self._roster.store_failed(now_ms)
        for news in read:
            if isinstance(news, EndpointNews) and news.unreadable:
                self._roster.exclude(news.endpoint)
        self._roster.apply_all(entries, now_ms)
        self._told = {each.endpoint: (each.run, each.draining) for each in entries}
        self._roster.expire(now_ms)
        self._journal.restart(snapshot.next_offset, snapshot.era)
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
            read = self._read(record)
            if isinstance(read, EndpointNews):
                self._take(read)
            else:
                self._take(make_news(record.offset, read))
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
            self._take_absence(news)
            return
        entry = news.to_entry()
        known = self._roster.get(entry.endpoint)
        verdict = self._roster.apply(entry, convinced=news.convinced)
        if verdict is EntryVerdict.OLD_RUN:
            return
        told = (entry.run, entry.draining)
        if self._told.get(entry.endpoint) == told:
            return
        self._told[entry.endpoint] = told
        self._telemetry.endpoint_changed(entry)
        seems_older = known is not None and entry.born_ms < known.entry.born_ms
        self._journal.add(news._replace(convinced=news.convinced or seems_older))

    def _take_absence(self, news: EndpointNews) -> None:
        """Apply a record that names no endpoint to use."""
        if not news.endpoint:
            return
        self._telemetry.endpoint_gone(news.endpoint)
        if news.unreadable:
            self._roster.exclude(news.endpoint)
        else:
            self._roster.remove(news.endpoint, self._clock.now_ms())
        self._told.pop(news.endpoint, None)
        self._journal.add(news)

    def _read(
        self, record: KeyedRecord | UnreadableRecord
    ) -> EndpointEntry | EndpointNews:
        """Return the entry in a record, or the news that there is none.

        Another writer may have left the record.  It names no endpoint to use, and hides
        no other one.
        """
        if isinstance(record, UnreadableRecord):
            self._telemetry.record_unreadable('endpoints', record)
            return _absence(record.offset, record.key or '', unreadable=True)
        if record.value is None:
            return _absence(record.offset, record.key, unreadable=False)
        try:
            return self._decode(record.key, record.value)
        except TranslationError as error:
            bad = UnreadableRecord(record.offset, record.key, error.message)
            self._telemetry.record_unreadable('endpoints', bad)
            return _absence(record.offset, record.key, unreadable=True)


def _absence(offset: int, endpoint: str, *, unreadable: bool) -> EndpointNews:
    return EndpointNews(offset, endpoint, gone=True, unreadable=unreadable)
