"""Updates the roster of endpoints from their registered entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.run_order import EntryVerdict
from savorychute.gateway.store.endpoint_news import EndpointNews, make_endpoint_news
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
    from savorychute.gateway.store.read_plan import ReadPlan
    from savorychute.gateway.store.store_errors import StoreUnavailableError
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.telemetry import GatewayTelemetry


class EndpointListener:
    """Applies entries to the roster, and adds changes to the journal.

    The journal is for other instances, which query it.

    :param roster: the endpoints.
    :param journal: the changes.
    :param plan: records each read.
    :param decode: decodes a record into an entry.
    :param telemetry: logs changes.
    :param clock: the current time.
    """

    def __init__(
        self,
        roster: EndpointRoster,
        journal: EndpointJournal,
        plan: ReadPlan,
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
        # The last state of each endpoint in the topic: its run, whether it is draining,
        # and the version of its software.
        self._last_states: dict[str, tuple[EndpointRun, bool, str | None]] = {}

    def on_snapshot(self, snapshot: TopicSnapshot, started_ms: int) -> None:
        """Apply all entries."""
        self._telemetry.store_responded('endpoints')
        self._plan.failing_topics.discard('endpoints')
        decoded = [self._decode_record(record) for record in snapshot.records]
        entries = [each for each in decoded if not isinstance(each, EndpointNews)]
        now_ms = self._clock.now_ms()
        if snapshot.era != self._journal.era:
            # The older copy lacks recently added endpoints until they write their
            # entries again.
            self._roster.store_failed(now_ms)
        for update in decoded:
            if isinstance(update, EndpointNews) and update.unreadable:
                self._roster.exclude(update.endpoint)
        self._roster.apply_all(entries, now_ms)
        self._last_states = {each.endpoint: _state_of(each) for each in entries}
        self._roster.expire(now_ms)
        self._journal.reset(snapshot.next_offset, snapshot.era)
        self._plan.must_list_endpoints = False
        self._plan.confirm_endpoints(started_ms)

    def on_delta(self, delta: TopicDelta, started_ms: int) -> None:
        """Apply entries that were written or removed, in their order."""
        self._telemetry.store_responded('endpoints')
        self._plan.failing_topics.discard('endpoints')
        if delta.next_offset < self._journal.offset:
            # Another instance reported later changes while this read was in progress.
            return
        for record in delta.records:
            decoded = self._decode_record(record)
            if isinstance(decoded, EndpointNews):
                self._apply_update(decoded)
            else:
                self._apply_update(make_endpoint_news(record.offset, decoded))
        self._journal.offset = delta.next_offset
        self._roster.expire(self._clock.now_ms())
        self._plan.confirm_endpoints(started_ms)

    def on_failure(self, error: StoreUnavailableError) -> None:
        """Record that entries may expire because endpoints cannot renew them."""
        self._telemetry.store_failed('endpoints', error)
        self._plan.failing_topics.add('endpoints')
        self._roster.store_failed(self._clock.now_ms())

    def apply_changes(self, changes: Sequence[EndpointNews], offset: int) -> None:
        """Apply changes that another instance has read.

        :param changes: the changes in their order.
        :param offset: the offset up to which the changes are complete.
        """
        for update in changes:
            if update.offset >= self._journal.offset:
                self._apply_update(update)
        self._journal.offset = max(self._journal.offset, offset)
        self._roster.expire(self._clock.now_ms())

    def _apply_update(self, update: EndpointNews) -> None:
        """Apply a record, and add it to the journal if it is more than a heartbeat.

        It is compared with the previous record of the topic rather than with the
        roster: an endpoint may have announced to this instance directly that it leaves,
        and the other instances still need the change.
        """
        if update.gone:
            self._apply_removal(update)
            return
        entry = update.to_entry()
        known = self._roster.get(entry.endpoint)
        verdict = self._roster.apply(entry, convinced=update.convinced)
        if verdict in (EntryVerdict.OLD_RUN, EntryVerdict.OUTDATED):
            return
        if entry.software_version is None:
            # An instance of an earlier release told it; the store has the version.
            self._plan.must_list_endpoints = True
        state = _state_of(entry)
        if self._last_states.get(entry.endpoint) == state:
            return
        self._last_states[entry.endpoint] = state
        self._telemetry.endpoint_changed(entry)
        seems_older = known is not None and entry.born_ms < known.entry.born_ms
        self._journal.add(update._replace(convinced=update.convinced or seems_older))

    def _apply_removal(self, update: EndpointNews) -> None:
        """Apply a record that makes an endpoint unusable."""
        if not update.endpoint:
            return
        if update.unreadable and not self._is_known(update.endpoint):
            # Another writer may leave many of these; other instances need none of them.
            return
        self._telemetry.endpoint_gone(update.endpoint)
        if update.unreadable:
            self._roster.exclude(update.endpoint)
        else:
            self._roster.remove(update.endpoint, self._clock.now_ms())
        self._last_states.pop(update.endpoint, None)
        self._journal.add(update)

    def _is_known(self, endpoint: str) -> bool:
        is_listed = self._roster.get(endpoint) is not None
        return is_listed or endpoint in self._last_states

    def _decode_record(
        self, record: KeyedRecord | UnreadableRecord
    ) -> EndpointEntry | EndpointNews:
        """Decode a record; return an update without an entry if it holds none.

        The record may come from another writer. In that case it yields no usable
        endpoint, and does not affect any other record.
        """
        if isinstance(record, UnreadableRecord):
            self._telemetry.record_unreadable('endpoints', record)
            return _make_removal(record.offset, record.key or '', unreadable=True)
        if record.value is None:
            return _make_removal(record.offset, record.key, unreadable=False)
        try:
            return self._decode(record.key, record.value)
        except TranslationError as error:
            unreadable = UnreadableRecord(record.offset, record.key, error.message)
            self._telemetry.record_unreadable('endpoints', unreadable)
            return _make_removal(record.offset, record.key, unreadable=True)


def _state_of(entry: EndpointEntry) -> tuple[EndpointRun, bool, str | None]:
    return (entry.run, entry.draining, entry.software_version)


def _make_removal(offset: int, endpoint: str, *, unreadable: bool) -> EndpointNews:
    return EndpointNews(offset, endpoint, gone=True, unreadable=unreadable)
